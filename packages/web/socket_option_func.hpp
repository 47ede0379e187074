/** @file socket_option_func.hpp Finds connections whose peer has vanished. */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace rosemarydeck
{

/**
 * Sends small writes at once, and lets the kernel end a connection whose peer
 * has been silent to keep-alive probes or unacknowledged for about a given
 * time. Faults are ignored: the connection then only lacks this check.
 * @param limit Time until a silent peer counts as gone, 2 s or more.
 */
void watch_for_dead_peer(boost::asio::ip::tcp::socket& socket,
                         std::chrono::seconds limit);

} // namespace rosemarydeck
