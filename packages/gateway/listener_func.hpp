/** @file listener_func.hpp Opens a port to listen on. */
#pragma once

#include "common/error_type.hpp"
#include "gateway/gateway_settings_type.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace rosemarydeck
{

/** @param at Port 0 takes any. @return The port, or unavailable. */
expected<std::uint16_t> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                                  const endpoint& at);

} // namespace rosemarydeck
