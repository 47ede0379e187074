/** @file socket_option_func.cpp Finds connections whose peer has vanished. */
#include "web/socket_option_func.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarydeck
{

namespace
{

void set(int handle, int level, int name, int value)
{
    // Nothing depends on the option alone; see the declaration.
    (void)::setsockopt(handle, level, name, &value, sizeof(value));
}

} // namespace

void watch_for_dead_peer(boost::asio::ip::tcp::socket& socket,
                         std::chrono::seconds limit)
{
    const auto handle = socket.native_handle();
    const auto seconds = static_cast<int>(limit.count());
    set(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    set(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(handle, IPPROTO_TCP, TCP_KEEPCNT, seconds - 1);
    set(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, seconds * 1'000);
}

} // namespace rosemarydeck
