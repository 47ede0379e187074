/** @file listener_func.cpp Opening of listening ports. */
#include "gateway/listener_func.hpp"

namespace rosemarydeck
{

expected<std::uint16_t> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                                  const endpoint& local, int buffer_bytes)
{
    using boost::asio::ip::tcp;
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(local.address, fault);
    if (!fault)
        acceptor.open(tcp::v4(), fault);
    if (!fault)
        acceptor.set_option(tcp::acceptor::reuse_address(true), fault);
    // Accepted sockets inherit the sizes.
    boost::system::error_code ignored;
    if (!fault) {
        acceptor.set_option(
            boost::asio::socket_base::receive_buffer_size(buffer_bytes),
            ignored);
        acceptor.set_option(
            boost::asio::socket_base::send_buffer_size(buffer_bytes), ignored);
    }
    if (!fault)
        acceptor.bind({address, local.port}, fault);
    if (!fault)
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        fault);
    if (fault)
        return tl::unexpected(error{error_code::unavailable, "open port",
                                    local.text(), fault.message()});
    return acceptor.local_endpoint().port();
}

} // namespace rosemarydeck
