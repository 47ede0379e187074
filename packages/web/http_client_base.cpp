/** @file http_client_base.cpp HTTP client for fibers. */
#include "web/http_client_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/socket_option_func.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/** Idle connections kept for each peer. */
constexpr std::size_t max_idle_connections = 8;
/** Hundreds of times the round-trip time within a region. */
constexpr auto max_connect_timeout = std::chrono::milliseconds(600);
/** Short, since a live peer's kernel replies even while a request runs. */
constexpr auto dead_peer_timeout = std::chrono::seconds(2);

error unavailable(const std::string& step, const http_peer& peer,
                  const std::string& text)
{
    return {error_code::unavailable, step,
            peer.address + ":" + std::to_string(peer.port), text};
}

} // namespace

std::chrono::milliseconds
connect_timeout_for(std::chrono::milliseconds call_timeout)
{
    return std::min(call_timeout, max_connect_timeout);
}

void http_call_handle::cancel()
{
    cancelled_ = true;
    if (connection_ != nullptr)
        connection_->stream.close();
}

http_client::http_client(boost::asio::io_context& context,
                         http_client_options options)
    : context_(context), options_(options)
{
}

expected<std::unique_ptr<http_connection>>
http_client::connect(const http_peer& peer, std::chrono::milliseconds timeout)
{
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(peer.address, fault);
    if (fault)
        return tl::unexpected(unavailable("connect", peer, fault.message()));
    auto connection = std::make_unique<http_connection>(context_);
    auto& stream = connection->stream;
    stream.expires_after(timeout);
    const auto connected = await_io([&](auto handler) {
        stream.async_connect(tcp::endpoint(address, peer.port),
                             std::move(handler));
    });
    if (connected.fault)
        return tl::unexpected(
            unavailable("connect", peer, connected.fault.message()));
    enable_dead_peer_detection(stream.socket(), dead_peer_timeout);
    return connection;
}

std::unique_ptr<http_connection> http_client::take_idle(const http_peer& peer)
{
    auto& idle = idle_[peer];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        // Readable data or end of stream on an idle connection: not reusable.
        auto& socket = connection->stream.socket();
        boost::system::error_code fault;
        socket.non_blocking(true, fault);
        char byte = 0;
        socket.receive(boost::asio::buffer(&byte, 1),
                       boost::asio::socket_base::message_peek, fault);
        if (fault == boost::asio::error::would_block)
            return connection;
    }
    return nullptr;
}

void http_client::keep_idle(const http_peer& peer,
                            std::unique_ptr<http_connection> connection)
{
    auto& idle = idle_[peer];
    if (idle.size() < max_idle_connections)
        idle.push_back(std::move(connection));
}

tl::expected<http_response, http_failure>
http_client::call(const http_peer& peer, http_request request,
                  std::chrono::milliseconds timeout, http_call_handle* handle)
{
    auto connection = take_idle(peer);
    const bool reused = connection != nullptr;
    if (!reused) {
        auto fresh = connect(peer, connect_timeout_for(timeout));
        if (!fresh)
            return tl::unexpected(http_failure{fresh.error(), false});
        connection = std::move(*fresh);
    }
    request.set(http::field::host, peer.address);
    request.prepare_payload();
    connection->stream.expires_after(timeout);
    auto response = transfer(*connection, peer, request, handle);
    if (response && response->keep_alive())
        keep_idle(peer, std::move(connection));
    // What ended an idle connection has most often ended all of them.
    if (!response && reused && (handle == nullptr || !handle->cancelled()))
        idle_.erase(peer);
    return response;
}

tl::expected<http_response, http_failure>
http_client::transfer(http_connection& connection, const http_peer& peer,
                      const http_request& request, http_call_handle* handle)
{
    auto& stream = connection.stream;
    const auto written = await_io([&](auto handler) {
        http::async_write(stream, request, std::move(handler));
    });
    if (written.fault)
        return tl::unexpected(http_failure{
            unavailable("send request", peer, written.fault.message()), true});
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_answer_bytes);
    if (handle != nullptr)
        handle->connection_ = &connection;
    const auto read = await_io([&](auto handler) {
        http::async_read(stream, connection.buffer, parser, std::move(handler));
    });
    if (handle != nullptr)
        handle->connection_ = nullptr;
    if (read.fault)
        return tl::unexpected(http_failure{
            unavailable("read answer", peer, read.fault.message()), true});
    stream.expires_never();
    return parser.release();
}

} // namespace rosemarydeck
