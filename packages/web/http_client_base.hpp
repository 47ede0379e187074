/** @file http_client_base.hpp HTTP client for fibers. */
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

/** Address and port of an HTTP server. */
struct http_peer
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const http_peer&) const = default;
};

/** An open connection with its read buffer. */
struct http_connection
{
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;

    explicit http_connection(boost::asio::io_context& context) : stream(context)
    {
    }
};

/** Lets another fiber of the thread end a call that waits for its answer. */
class http_call_handle
{
public:
    /** Closes the connection of the call, which then fails. */
    void cancel();
    [[nodiscard]] bool cancelled() const { return cancelled_; }

private:
    friend class http_client;

    http_connection* connection_ = nullptr; ///< Set while the call waits.
    bool cancelled_ = false;
};

/** A failed call: its cause and whether the request may have arrived. */
struct http_failure
{
    error cause;
    bool sent = false; ///< The server may have received the request.
};

/**
 * @param call_timeout Time limit of the whole call.
 * @return Time limit for opening its connection. It is short because the
 *         kernel resends a lost SYN only after seconds; a new attempt is
 *         faster.
 */
std::chrono::milliseconds
connect_timeout_for(std::chrono::milliseconds call_timeout);

/** Limits of an HTTP client. */
struct http_client_options
{
    /** Largest body of an answer, in bytes. It is kept whole. */
    std::uint64_t max_answer_bytes = 67'108'864;
};

/** HTTP client for the fibers of one thread; reuses idle connections. */
class http_client
{
public:
    explicit http_client(boost::asio::io_context& context,
                         http_client_options options = {});

    /**
     * Opens a connection.
     * @return The connection, or error_code::unavailable.
     */
    expected<std::unique_ptr<http_connection>>
    connect(const http_peer& peer, std::chrono::milliseconds timeout);

    /**
     * Sends a request and reads the whole answer.
     * @param timeout Limit for connecting, and again for sending the request
     *                and reading the answer together.
     * @param handle Ends the call; must not be in use by another one.
     * @return The answer, or a failure with error_code::unavailable.
     */
    tl::expected<http_response, http_failure>
    call(const http_peer& peer, http_request request,
         std::chrono::milliseconds timeout, http_call_handle* handle = nullptr);

private:
    /** Sends a request on a connection and reads the answer. */
    tl::expected<http_response, http_failure>
    transfer(http_connection& connection, const http_peer& peer,
             const http_request& request, http_call_handle* handle);
    std::unique_ptr<http_connection> take_idle(const http_peer& peer);
    void keep_idle(const http_peer& peer,
                   std::unique_ptr<http_connection> connection);

    boost::asio::io_context& context_;
    http_client_options options_;
    std::map<http_peer, std::deque<std::unique_ptr<http_connection>>> idle_;
};

} // namespace rosemarydeck
