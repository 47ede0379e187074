/** @file attempt_base.cpp Runs one attempt at a backend server. */
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

http_request make_request(const dispatch_attempt& order,
                          const upstream_request& source)
{
    http_request request;
    request.method_string(source.method);
    request.target(source.path);
    request.version(11);
    request.set(http::field::host, order.address);
    if (!source.content_type.empty())
        request.set(http::field::content_type, source.content_type);
    request.set("X-Fence", std::to_string(order.fence));
    request.set("X-Stream-Id", std::to_string(order.id.value()) + "." +
                                   std::to_string(order.attempt));
    if (order.resume_at_token > 0)
        request.set("X-Resume-At", std::to_string(order.resume_at_token));
    request.body() = source.body;
    request.prepare_payload();
    return request;
}

bool is_timeout(const boost::system::error_code& fault)
{
    return fault == boost::beast::error::timeout;
}

/** @return False if the answer says that it belongs to another request. */
bool same_stream(const http_request& request, const http_response& response)
{
    const auto echoed = response.find("X-Stream-Id");
    return echoed == response.end() ||
           echoed->value() == request["X-Stream-Id"];
}

} // namespace

attempt_runner::attempt_runner(boost::asio::io_context& context,
                               attempt_options options,
                               std::function<void(core_event)> tell)
    : context_(context), options_(options), tell_(std::move(tell)),
      client_(context)
{
}

void attempt_runner::fail(const dispatch_attempt& order,
                          attempt_failure failure, token_count delivered)
{
    tell_(attempt_failed{order.id, order.attempt, failure, delivered});
}

void attempt_runner::tell_first(const dispatch_attempt& order, progress& state)
{
    if (state.first_told)
        return;
    state.first_told = true;
    tell_(attempt_first_token{order.id, order.attempt});
}

std::unique_ptr<http_connection>
attempt_runner::open(const dispatch_attempt& order)
{
    // Always a fresh connection: on a kept one it can't be told whether a
    // request that failed at once had reached the server.
    auto connection =
        client_.connect({order.address, order.port}, options_.connect_timeout);
    return connection ? std::move(*connection) : nullptr;
}

void attempt_runner::run(const dispatch_attempt& order,
                         const std::shared_ptr<answer_log>& log)
{
    const auto connection = open(order);
    if (!connection)
        return fail(order, attempt_failure::not_sent, order.resume_at_token);
    progress state;
    state.delivered = order.resume_at_token;
    read_answer(*connection, order, *log, state);
    if (state.failure)
        return fail(order, *state.failure, state.delivered);
    log->hold_end(std::move(state.end));
    tell_(attempt_finished{order.id, order.attempt,
                           state.usage.value_or(token_usage{})});
}

void attempt_runner::read_answer(http_connection& connection,
                                 const dispatch_attempt& order, answer_log& log,
                                 progress& state)
{
    auto& stream = connection.stream;
    const auto request = make_request(order, log.request());
    stream.expires_after(options_.silence);
    const auto written = await_io([&](auto handler) {
        http::async_write(stream, request, std::move(handler));
    });
    if (written.fault) {
        state.failure = attempt_failure::broken;
        return;
    }
    if (log.request().stream)
        read_stream(connection, order, log, state);
    else
        read_whole(connection, order, log, state);
}

void attempt_runner::read_stream(http_connection& connection,
                                 const dispatch_attempt& order, answer_log& log,
                                 progress& state)
{
    auto& stream = connection.stream;
    answer_parser parser;
    parser.body_limit(boost::none);
    stream.expires_after(options_.silence);
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
        !same_stream(make_request(order, log.request()), parser.get())) {
        state.failure = attempt_failure::rejected;
        return;
    }
    log.start(200, "text/event-stream");
    sse_splitter splitter;
    while (!state.done && !state.failure) {
        const auto body = std::exchange(parser.get().body(), {});
        take_events(splitter.feed(body), order, log, state);
        if (state.done || state.failure || parser.is_done())
            break;
        stream.expires_after(options_.silence);
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

void attempt_runner::take_events(const std::vector<chat_event>& events,
                                 const dispatch_attempt& order, answer_log& log,
                                 progress& state)
{
    for (const auto& event : events) {
        if (event.tokens > 0)
            tell_first(order, state);
        if (event.usage)
            state.usage = event.usage;
        const bool is_end = event.usage || event.done;
        if (is_end)
            state.end += event.raw;
        if (event.malformed || (!is_end && !log.append(event.raw))) {
            state.failure = attempt_failure::broken;
            return;
        }
        state.delivered += event.tokens;
        state.done = event.done;
    }
}

void attempt_runner::read_whole(http_connection& connection,
                                const dispatch_attempt& order, answer_log& log,
                                progress& state)
{
    auto& stream = connection.stream;
    answer_parser parser;
    parser.body_limit(options_.max_answer_bytes);
    stream.expires_after(options_.silence);
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
    const bool usable = source.count_usage ? status == 200 : status < 500;
    if (!usable || !same_stream(make_request(order, source), response)) {
        state.failure = attempt_failure::rejected;
        return;
    }
    if (source.count_usage) {
        state.usage = usage_in(response.body());
        if (!state.usage) {
            state.failure = attempt_failure::broken;
            return;
        }
    }
    tell_first(order, state);
    log.start(status, std::string(response[http::field::content_type]));
    state.end = response.body();
    state.done = true;
}

} // namespace rosemarydeck
