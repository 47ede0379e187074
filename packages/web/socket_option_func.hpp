/** @file socket_option_func.hpp Socket options that detect a dead peer. */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace rosemarydeck
{

/**
 * Disables Nagle's algorithm and makes the kernel close a connection whose
 * peer has not answered keep-alive probes or acknowledged data for about
 * `timeout`. Errors are ignored: the connection works without these options,
 * but a dead peer is then not detected.
 * @param timeout Time without an answer after which the peer counts as dead,
 *                at least 2 s.
 */
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket,
                                std::chrono::seconds timeout);

} // namespace rosemarydeck
