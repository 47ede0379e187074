/** @file attempt_base.cpp One attempt at a backend server. */
#include "web/attempt_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/sse_func.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

using answer_parser = http::response_parser<http::string_body>;

http_request make_upstream_request(const dispatch_attempt& dispatch,
                                   const upstream_request& source)
{
    http_request request;
    request.method_string(source.method);
    request.target(source.path);
    request.version(11);
    request.set(http::field::host, dispatch.address);
    if (!source.content_type.empty())
        request.set(http::field::content_type, source.content_type);
    request.set("X-Fence", std::to_string(dispatch.fence));
    request.set("X-Stream-Id", std::to_string(dispatch.id.value()) + "." +
                                   std::to_string(dispatch.attempt));
    if (dispatch.resume_at_token > 0)
        request.set("X-Resume-At", std::to_string(dispatch.resume_at_token));
    request.body() = source.body;
    request.prepare_payload();
    return request;
}

bool is_timeout(const boost::system::error_code& fault)
{
    return fault == boost::beast::error::timeout;
}

/** @return False if the answer carries the X-Stream-Id of another request. */
bool matches_stream_id(const http_request& request,
                       const http_response& response)
{
    const auto echoed = response.find("X-Stream-Id");
    return echoed == response.end() ||
           echoed->value() == request["X-Stream-Id"];
}

} // namespace

attempt_runner::attempt_runner(boost::asio::io_context& context,
                               attempt_options options,
                               std::function<void(core_event)> send_event)
    : context_(context), options_(options), send_event_(std::move(send_event)),
      client_(context)
{
}

void attempt_runner::report_failure(const dispatch_attempt& dispatch,
                                    attempt_failure failure,
                                    token_count delivered)
{
    send_event_(
        attempt_failed{dispatch.id, dispatch.attempt, failure, delivered});
}

void attempt_runner::report_first_token(const dispatch_attempt& dispatch,
                                        progress& state)
{
    if (state.first_token_reported)
        return;
    state.first_token_reported = true;
    send_event_(attempt_first_token{dispatch.id, dispatch.attempt});
}

std::unique_ptr<http_connection>
attempt_runner::open(const dispatch_attempt& dispatch)
{
    // Always a new connection: if a request fails on a reused one, it is
    // unknown whether the server has received it.
    auto connection = client_.connect({dispatch.address, dispatch.port},
                                      options_.connect_timeout);
    return connection ? std::move(*connection) : nullptr;
}

void attempt_runner::run(const dispatch_attempt& dispatch,
                         const std::shared_ptr<answer_log>& log)
{
    const auto connection = open(dispatch);
    if (!connection)
        return report_failure(dispatch, attempt_failure::not_sent,
                              dispatch.resume_at_token);
    progress state;
    state.delivered = dispatch.resume_at_token;
    read_answer(*connection, dispatch, *log, state);
    if (state.failure)
        return report_failure(dispatch, *state.failure, state.delivered);
    log->hold_end(std::move(state.held_end));
    send_event_(attempt_finished{dispatch.id, dispatch.attempt,
                                 state.usage.value_or(token_usage{})});
}

void attempt_runner::read_answer(http_connection& connection,
                                 const dispatch_attempt& dispatch,
                                 answer_log& log, progress& state)
{
    auto& stream = connection.stream;
    const auto request = make_upstream_request(dispatch, log.request());
    stream.expires_after(options_.operation_timeout);
    const auto written = await_io([&](auto handler) {
        http::async_write(stream, request, std::move(handler));
    });
    if (written.fault) {
        state.failure = attempt_failure::broken;
        return;
    }
    if (log.request().stream)
        read_stream(connection, dispatch, log, state);
    else
        read_full_answer(connection, dispatch, log, state);
}

void attempt_runner::read_stream(http_connection& connection,
                                 const dispatch_attempt& dispatch,
                                 answer_log& log, progress& state)
{
    auto& stream = connection.stream;
    answer_parser parser;
    parser.body_limit(boost::none);
    stream.expires_after(options_.operation_timeout);
    const auto head = await_io([&](auto handler) {
        http::async_read_header(stream, connection.buffer, parser,
                                std::move(handler));
    });
    if (head.fault) {
        state.failure = is_timeout(head.fault) ? attempt_failure::timed_out
                                               : attempt_failure::broken;
        return;
    }
    if (parser.get().result() != http::status::ok ||
        !matches_stream_id(make_upstream_request(dispatch, log.request()),
                           parser.get())) {
        state.failure = attempt_failure::rejected;
        return;
    }
    log.start(200, "text/event-stream");
    sse_splitter splitter;
    while (!state.done && !state.failure) {
        const auto body = std::exchange(parser.get().body(), {});
        append_events(splitter.feed(body), dispatch, log, state);
        if (state.done || state.failure || parser.is_done())
            break;
        stream.expires_after(options_.operation_timeout);
        const auto read = await_io([&](auto handler) {
            http::async_read_some(stream, connection.buffer, parser,
                                  std::move(handler));
        });
        if (read.fault)
            state.failure = is_timeout(read.fault) ? attempt_failure::timed_out
                                                   : attempt_failure::broken;
    }
    if (!state.done || !state.usage)
        state.failure = attempt_failure::broken;
}

void attempt_runner::append_events(const std::vector<chat_event>& events,
                                   const dispatch_attempt& dispatch,
                                   answer_log& log, progress& state)
{
    for (const auto& event : events) {
        if (event.tokens > 0)
            report_first_token(dispatch, state);
        if (event.usage)
            state.usage = event.usage;
        const bool is_end = event.usage || event.done;
        if (is_end)
            state.held_end += event.raw;
        if (event.malformed || (!is_end && !log.append(event.raw))) {
            state.failure = attempt_failure::broken;
            return;
        }
        state.delivered += event.tokens;
        state.done = event.done;
    }
}

void attempt_runner::read_full_answer(http_connection& connection,
                                      const dispatch_attempt& dispatch,
                                      answer_log& log, progress& state)
{
    auto& stream = connection.stream;
    answer_parser parser;
    parser.body_limit(options_.max_answer_bytes);
    stream.expires_after(options_.operation_timeout);
    const auto read = await_io([&](auto handler) {
        http::async_read(stream, connection.buffer, parser, std::move(handler));
    });
    if (read.fault) {
        state.failure = is_timeout(read.fault) ? attempt_failure::timed_out
                                               : attempt_failure::broken;
        return;
    }
    const auto& response = parser.get();
    const auto status = response.result_int();
    const auto& source = log.request();
    const bool usable = source.requires_usage ? status == 200 : status < 500;
    if (!usable ||
        !matches_stream_id(make_upstream_request(dispatch, source), response)) {
        state.failure = attempt_failure::rejected;
        return;
    }
    if (source.requires_usage) {
        state.usage = parse_usage(response.body());
        if (!state.usage) {
            state.failure = attempt_failure::broken;
            return;
        }
    }
    report_first_token(dispatch, state);
    log.start(status, std::string(response[http::field::content_type]));
    state.held_end = response.body();
    state.done = true;
}

} // namespace rosemarydeck
