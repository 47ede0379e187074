/** @file listener_func.hpp Opening of listening ports. */
#pragma once

#include "common/error_type.hpp"
#include "gateway/gateway_settings_type.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace rosemarydeck
{

/** Opens an acceptor and listens.
 *  @param local Address and port; port 0 means any free port.
 *  @param buffer_bytes What the kernel buffers for each connection in each
 *         direction.
 *  @return The port, or error_code::unavailable. */
expected<std::uint16_t> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                                  const endpoint& local, int buffer_bytes);

} // namespace rosemarydeck
