/** @file caller_session_base.cpp One caller's connection. */
#include "web/caller_session_base.hpp"

#include "common/overload_func.hpp"
#include "web/fiber_scheduler_base.hpp"
#include "web/memory_charge_func.hpp"
#include "web/reply_func.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;
using milliseconds = std::chrono::milliseconds;

/** Maximum number of logs to which one request is redirected in turn. */
constexpr int max_joins = 4;
/** Bytes that one read adds at most. */
constexpr std::size_t max_read_bytes = 65'536;
/** Time limit for discarding what a refused caller still sends. */
constexpr auto discard_timeout = milliseconds(1'000);

std::string encode_chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

bool is_backend_path(const std::string& path)
{
    return path == "/v1/chat/completions" ||
           path.rfind("/v1/services/", 0) == 0;
}

} // namespace

caller_session::caller_session(boost::asio::io_context& context,
                               boost::asio::ip::tcp::socket socket,
                               shared_session_state& shared, holder_id holder)
    : context_(context), stream_(std::move(socket)),
      buffer_(static_cast<std::size_t>(shared.values.max_header_bytes) +
              max_read_bytes),
      shared_(shared), holder_(holder)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void caller_session::run()
{
    http_request request;
    while (read_next_request(request)) {
        ++shared_.busy_sessions;
        shared_.memory.set_state(holder_, peer_state::served, clock_.now());
        const bool served = serve(request);
        --shared_.busy_sessions;
        if (!served || !request.keep_alive() || shared_.control.stopping())
            break;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ignored);
}

bool caller_session::read_next_request(http_request& request)
{
    request_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(shared_.values.max_header_bytes));
    parser.body_limit(
        static_cast<std::uint64_t>(shared_.values.max_body_bytes));
    request = {};
    charge(buffer_.capacity());
    shared_.memory.set_state(holder_, peer_state::idle, clock_.now());
    stream_.expires_after(milliseconds(shared_.values.read_timeout_ms));
    const auto fault = read_whole(parser);
    if (fault)
        return refuse_unreadable(fault, parser);
    request = parser.release();
    return true;
}

boost::system::error_code caller_session::read_whole(request_parser& parser)
{
    auto read = await_io([&](auto handler) {
        http::async_read_header(stream_, buffer_, parser, std::move(handler));
    });
    shared_.memory.set_state(holder_, peer_state::reading, clock_.now());
    parser.eager(true);
    while (!read.fault && !parser.is_done()) {
        if (!charge(parser))
            return make_error_code(boost::system::errc::not_enough_memory);
        read = await_io([&](auto handler) {
            http::async_read_some(stream_, buffer_, parser, std::move(handler));
        });
        shared_.memory.record_progress(holder_, read.bytes, clock_.now());
    }
    return read.fault;
}

bool caller_session::charge(const request_parser& parser)
{
    const auto& body = parser.get().body();
    return charge(
        buffer_.capacity() +
        std::max<std::size_t>(
            parser.content_length().value_or(0),
            grown_bytes(body.size(), body.capacity(), max_read_bytes)));
}

bool caller_session::charge(std::size_t bytes)
{
    return await_charge(context_, shared_.memory, holder_, bytes, clock_,
                        [this] { return closed_to_yield_; });
}

void caller_session::close_now()
{
    closed_to_yield_ = true;
    stream_.close();
}

bool caller_session::refuse_unreadable(const boost::system::error_code& fault,
                                       const request_parser& parser)
{
    http_request unreadable;
    unreadable.version(11);
    unreadable.keep_alive(false);
    if (fault == boost::system::errc::not_enough_memory)
        write(error_reply(503, "memory_short",
                          "other callers hold the memory that the request "
                          "needs; it was not run"),
              unreadable);
    else if (fault == http::error::header_limit ||
             fault == http::error::buffer_overflow)
        write(error_reply(431, "header_too_large",
                          "the request header is larger than allowed"),
              unreadable);
    else if (fault == http::error::body_limit)
        write(error_reply(413, "body_too_large",
                          "the request body is larger than allowed"),
              unreadable);
    else if (fault == boost::beast::error::timeout && parser.got_some()) {
        // The time-out has closed the connection: no answer can be sent.
    }
    else if (fault.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
             fault != http::error::end_of_stream &&
             fault != http::error::partial_message)
        write(error_reply(400, "malformed_request", fault.message()),
              unreadable);
    discard_input();
    return false;
}

void caller_session::discard_input()
{
    // Closing a socket with unread input resets the connection, and a caller
    // that is still sending would lose the answer.
    boost::system::error_code ended;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ended);
    stream_.expires_after(discard_timeout);
    std::array<char, 4'096> unread{};
    while (!ended)
        ended = await_io([&](auto handler) {
                    stream_.async_read_some(boost::asio::buffer(unread),
                                            std::move(handler));
                }).fault;
}

bool caller_session::serve(const http_request& request)
{
    const std::string path(request.target());
    const auto method = request.method();
    if (path == "/health" && method == http::verb::get) {
        const bool ready = shared_.control.ready();
        return write(json_reply(ready ? 200 : 503,
                                ready ? "{\"status\":\"ready\"}\n"
                                      : "{\"status\":\"not ready\"}\n"),
                     request);
    }
    if (path == "/metrics" && method == http::verb::get) {
        auto response = json_reply(200, shared_.control.metrics());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        return write(std::move(response), request);
    }
    if (path.rfind("/operator/", 0) == 0)
        return serve_operator(request);
    if (path == "/v1/keys" && method == http::verb::post)
        return serve_key(request);
    if (is_backend_path(path) && method == http::verb::post)
        return serve_backend_request(request);
    if (is_backend_path(path) || path == "/v1/keys")
        return write(error_reply(405, "method_not_allowed",
                                 "this path accepts POST only"),
                     request);
    return write(error_reply(404, "not_found", "unknown path"), request);
}

bool caller_session::serve_backend_request(const http_request& request)
{
    auto parsed = parse_caller_request(request);
    if (!parsed)
        return write(error_reply(400, "invalid_request", parsed.error().text),
                     request);
    const auto id = shared_.answers.next_id();
    parsed->core_request.id = id;
    const bool stream = parsed->upstream.stream;
    const auto log = std::make_shared<answer_log>(
        std::move(parsed->upstream),
        static_cast<std::size_t>(shared_.values.max_answer_bytes));
    shared_.answers.add(id, log);
    shared_.control.tell(parsed->core_request);
    const bool served = send_answer(request, log, stream);
    if (!served)
        shared_.control.tell(caller_disconnected{id});
    return served;
}

bool caller_session::serve_key(const http_request& request)
{
    const auto id = shared_.answers.next_id();
    const auto log = std::make_shared<answer_log>(upstream_request{}, 0);
    shared_.answers.add(id, log);
    shared_.control.tell(key_requested{id, bearer_token_of(request)});
    return send_answer(request, log, false);
}

bool caller_session::send_answer(const http_request& request,
                                 std::shared_ptr<answer_log> log, bool stream)
{
    std::size_t bytes_read = 0;
    int joins = 0;
    bool started = false;
    std::string body;
    while (true) {
        auto result = log->wait_for_more(bytes_read);
        if (auto* part = std::get_if<answer_part>(&result)) {
            bytes_read += part->bytes.size();
            if (stream) {
                if (!write_part(*part, stream, started, request.keep_alive()))
                    return false;
            }
            else
                body += part->bytes;
            if (!part->finished)
                continue;
            if (stream)
                return true;
            auto response = json_reply(part->status, body);
            response.set(http::field::content_type, part->content_type);
            return write(std::move(response), request);
        }
        if (const auto* refusal = std::get_if<refuse_request>(&result))
            return started ? send_error_in_stream(*refusal)
                           : write(refusal_reply(*refusal), request);
        if (const auto* key = std::get_if<issue_key>(&result))
            return write(
                json_reply(200,
                           nlohmann::json{{"key", key->key}}.dump() + "\n"),
                request);
        if (const auto* peer = std::get_if<relay_to_peer>(&result))
            return relay(request, *peer);
        log = std::get<join_log>(result).original;
        if (++joins > max_joins)
            return false;
    }
}

bool caller_session::write_part(const answer_part& part, bool stream,
                                bool& started, bool keep_alive)
{
    std::string out;
    if (!started && stream) {
        out = "HTTP/1.1 200 OK\r\nContent-Type: " + part.content_type +
              "\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n";
        if (!keep_alive)
            out += "Connection: close\r\n";
        out += "\r\n";
        started = true;
    }
    if (!part.bytes.empty())
        out += encode_chunk(part.bytes);
    if (part.finished)
        out += "0\r\n\r\n";
    return write_bytes(out);
}

bool caller_session::send_error_in_stream(const refuse_request& refusal)
{
    // The status line has been sent, so the error is sent as an event. The
    // missing last chunk shows the caller that the answer is incomplete.
    write_bytes(encode_chunk("data: " + refusal_body(refusal) + "\n\n"));
    return false;
}

bool caller_session::write_bytes(const std::string& bytes)
{
    stream_.expires_after(milliseconds(shared_.values.write_timeout_ms));
    const auto written = await_io([&](auto handler) {
        boost::asio::async_write(stream_, boost::asio::buffer(bytes),
                                 std::move(handler));
    });
    return !written.fault;
}

bool caller_session::write(http_response response, const http_request& request)
{
    response.version(request.version());
    response.keep_alive(request.keep_alive());
    stream_.expires_after(milliseconds(shared_.values.write_timeout_ms));
    const auto written = await_io([&](auto handler) {
        http::async_write(stream_, response, std::move(handler));
    });
    return !written.fault;
}

bool caller_session::relay(const http_request& request,
                           const relay_to_peer& peer)
{
    http_client client(context_);
    const auto timeout = milliseconds(shared_.values.attempt_timeout_ms);
    auto connection = client.connect({peer.address, peer.port}, timeout);
    // The caller may retry after 500 ms.
    const refuse_request unreachable{
        {}, refusal_reason::key_in_use, ran_state::unknown, 500};
    if (!connection)
        return write(refusal_reply(unreachable), request);
    auto& peer_stream = (*connection)->stream;
    auto forwarded = request;
    forwarded.set("X-Relayed", "1");
    forwarded.keep_alive(false);
    peer_stream.expires_after(timeout);
    const auto sent = await_io([&](auto handler) {
        http::async_write(peer_stream, forwarded, std::move(handler));
    });
    if (sent.fault)
        return write(refusal_reply(unreachable), request);
    // Forwards the peer's answer unchanged, including its framing.
    std::string read_buffer(16384, '\0');
    bool any_received = false;
    while (true) {
        peer_stream.expires_after(timeout);
        const auto read = await_io([&](auto handler) {
            peer_stream.async_read_some(boost::asio::buffer(read_buffer),
                                        std::move(handler));
        });
        if (read.fault && !any_received)
            return write(refusal_reply(unreachable), request);
        if (read.fault)
            return false; // The peer closes after its answer.
        any_received = true;
        if (!write_bytes(read_buffer.substr(0, read.bytes)))
            return false;
    }
}

} // namespace rosemarydeck
