/** @file socket_option_func.cpp Socket options that detect a dead peer. */
#include "web/socket_option_func.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarydeck
{

namespace
{

void set_option(int handle, int level, int name, int value)
{
    // Errors are ignored: a connection works without the option.
    (void)::setsockopt(handle, level, name, &value, sizeof(value));
}

} // namespace

void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket,
                                std::chrono::seconds timeout)
{
    const auto handle = socket.native_handle();
    const auto seconds = static_cast<int>(timeout.count());
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    // One idle second, then one probe per second.
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, seconds - 1);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, seconds * 1'000);
}

} // namespace rosemarydeck
