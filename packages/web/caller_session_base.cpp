/** @file caller_session_base.cpp One caller's connection. */
#include "web/caller_session_base.hpp"

#include "common/overload_func.hpp"
#include "web/fiber_scheduler_base.hpp"
#include "web/reply_func.hpp"

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

/** Follows from one log to another at most this often. */
constexpr int max_follows = 4;
/** Longest that a refused caller may go on sending. */
constexpr auto linger_limit = milliseconds(1'000);

std::string chunk_of(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

bool is_work(const std::string& path)
{
    return path == "/v1/chat/completions" ||
           path.rfind("/v1/services/", 0) == 0;
}

} // namespace

caller_session::caller_session(boost::asio::io_context& context,
                               boost::asio::ip::tcp::socket socket,
                               session_shared& shared)
    : context_(context), stream_(std::move(socket)), shared_(shared)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void caller_session::run()
{
    http_request request;
    while (read_next(request)) {
        ++shared_.busy;
        const bool served = serve(request);
        --shared_.busy;
        if (!served || !request.keep_alive() || shared_.control.stopping())
            break;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ignored);
}

bool caller_session::read_next(http_request& into)
{
    request_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(shared_.values.max_header_bytes));
    parser.body_limit(
        static_cast<std::uint64_t>(shared_.values.max_body_bytes));
    stream_.expires_after(milliseconds(shared_.values.read_timeout_ms));
    const auto read = await_io([&](auto handler) {
        http::async_read(stream_, buffer_, parser, std::move(handler));
    });
    if (read.fault)
        return refuse_unreadable(read.fault, parser);
    into = parser.release();
    return true;
}

bool caller_session::refuse_unreadable(const boost::system::error_code& fault,
                                       const request_parser& parser)
{
    http_request none;
    none.version(11);
    none.keep_alive(false);
    if (fault == http::error::header_limit)
        write(error_reply(431, "header_too_large", "the header is too large"),
              none);
    else if (fault == http::error::body_limit)
        write(error_reply(413, "body_too_large", "the body is too large"),
              none);
    else if (fault == boost::beast::error::timeout && parser.got_some()) {
        // The stream is closed by its own timer; nothing can be written.
    }
    else if (fault.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
             fault != http::error::end_of_stream &&
             fault != http::error::partial_message)
        write(error_reply(400, "malformed_request", fault.message()), none);
    linger();
    return false;
}

void caller_session::linger()
{
    // A close with bytes unread would reset the connection, and the caller
    // that still sends them would lose the answer.
    boost::system::error_code ended;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ended);
    stream_.expires_after(linger_limit);
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
    if (is_work(path) && method == http::verb::post)
        return serve_work(request);
    if (is_work(path) || path == "/v1/keys")
        return write(error_reply(405, "method_not_allowed", "use POST"),
                     request);
    return write(error_reply(404, "not_found", "no such path"), request);
}

bool caller_session::serve_work(const http_request& request)
{
    auto parsed = read_request(request);
    if (!parsed)
        return write(error_reply(400, "invalid_request", parsed.error().text),
                     request);
    const auto id = shared_.answers.next_id();
    parsed->decision.id = id;
    const bool stream = parsed->upstream.stream;
    const auto log = std::make_shared<answer_log>(
        std::move(parsed->upstream),
        static_cast<std::size_t>(shared_.values.max_answer_bytes));
    shared_.answers.add(id, log);
    shared_.control.tell(parsed->decision);
    const bool served = answer_from(request, log, stream);
    if (!served)
        shared_.control.tell(caller_disconnected{id});
    return served;
}

bool caller_session::serve_key(const http_request& request)
{
    const auto id = shared_.answers.next_id();
    const auto log = std::make_shared<answer_log>(upstream_request{}, 0);
    shared_.answers.add(id, log);
    shared_.control.tell(key_requested{id, bearer_of(request)});
    return answer_from(request, log, false);
}

bool caller_session::answer_from(const http_request& request,
                                 std::shared_ptr<answer_log> log, bool stream)
{
    std::size_t have = 0;
    int follows = 0;
    bool started = false;
    std::string whole;
    while (true) {
        auto step = log->wait(have);
        if (auto* part = std::get_if<answer_part>(&step)) {
            have += part->bytes.size();
            if (stream) {
                if (!write_part(*part, stream, started, request.keep_alive()))
                    return false;
            }
            else
                whole += part->bytes;
            if (!part->finished)
                continue;
            if (stream)
                return true;
            auto response = json_reply(part->status, whole);
            response.set(http::field::content_type, part->content_type);
            return write(std::move(response), request);
        }
        if (const auto* refusal = std::get_if<refuse_request>(&step))
            return started ? fail_started(*refusal)
                           : write(refusal_reply(*refusal), request);
        if (const auto* key = std::get_if<issue_key>(&step))
            return write(
                json_reply(200,
                           nlohmann::json{{"key", key->key}}.dump() + "\n"),
                request);
        if (const auto* peer = std::get_if<follow_peer>(&step))
            return relay(request, *peer);
        log = std::get<follow_log>(step).original;
        if (++follows > max_follows)
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
        out += chunk_of(part.bytes);
    if (part.finished)
        out += "0\r\n\r\n";
    return write_raw(out);
}

bool caller_session::fail_started(const refuse_request& refusal)
{
    // The status is out; the error goes into the stream, whose missing end
    // tells the caller that the answer is not whole.
    write_raw(chunk_of("data: " + refusal_body(refusal) + "\n\n"));
    return false;
}

bool caller_session::write_raw(const std::string& bytes)
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

bool caller_session::relay(const http_request& request, const follow_peer& to)
{
    http_client client(context_);
    const auto wait = milliseconds(shared_.values.attempt_timeout_ms);
    auto connection = client.connect({to.address, to.port}, wait);
    const refuse_request unreachable{
        {}, refusal_reason::key_in_use, ran_state::unknown, 500};
    if (!connection)
        return write(refusal_reply(unreachable), request);
    auto& upstream = (*connection)->stream;
    auto forwarded = request;
    forwarded.set("X-Relayed", "1");
    forwarded.keep_alive(false);
    upstream.expires_after(wait);
    const auto sent = await_io([&](auto handler) {
        http::async_write(upstream, forwarded, std::move(handler));
    });
    if (sent.fault)
        return write(refusal_reply(unreachable), request);
    // The peer's answer is passed on as it is, with its own framing.
    std::string piece(16384, '\0');
    bool any = false;
    while (true) {
        upstream.expires_after(wait);
        const auto read = await_io([&](auto handler) {
            upstream.async_read_some(boost::asio::buffer(piece),
                                     std::move(handler));
        });
        if (read.fault && !any)
            return write(refusal_reply(unreachable), request);
        if (read.fault)
            return false; // The peer closes behind its answer.
        any = true;
        if (!write_raw(piece.substr(0, read.bytes)))
            return false;
    }
}

} // namespace rosemarydeck
