/** @file http_client_base.hpp HTTP calls from a fiber. */
#pragma once

#include "common/error_type.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>

namespace rosemarydeck
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Where an HTTP server is. */
struct http_peer
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const http_peer&) const = default;
};

/** An open connection. */
struct http_connection
{
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;

    explicit http_connection(boost::asio::io_context& context) : stream(context)
    {
    }
};

/** How far a failed call got. */
struct http_failure
{
    error cause;
    bool sent = false; ///< Bytes of the request may have arrived.
};

/**
 * @param whole What a call may take in all.
 * @return What opening its connection may take. A lost opening packet is sent
 *         again after seconds, so a new try is sooner than waiting on.
 */
std::chrono::milliseconds connect_time(std::chrono::milliseconds whole);

/** Calls HTTP servers from the fibers of one thread, over kept connections. */
class http_client
{
public:
    explicit http_client(boost::asio::io_context& context);

    /**
     * Opens a connection.
     * @param peer Where to. @param timeout The longest wait.
     * @return The connection, or unavailable.
     */
    expected<std::unique_ptr<http_connection>>
    connect(const http_peer& peer, std::chrono::milliseconds timeout);

    /**
     * Sends a request and reads the whole answer.
     * @param peer Where to. @param request What. @param timeout Of it all.
     * @return The answer, or unavailable with how far it got.
     */
    tl::expected<http_response, http_failure>
    call(const http_peer& peer, http_request request,
         std::chrono::milliseconds timeout);

private:
    std::unique_ptr<http_connection> take_idle(const http_peer& peer);
    void keep(const http_peer& peer, std::unique_ptr<http_connection> used);

    boost::asio::io_context& context_;
    std::map<http_peer, std::deque<std::unique_ptr<http_connection>>> idle_;
};

} // namespace rosemarydeck
