/** @file exchange_send.cpp Sending of requests to engines. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"
#include "gateway/relay_header_type.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Engines accept a connection within one round trip; one that takes longer
 *  is unreachable. */
constexpr auto connect_timeout = milliseconds(300);
/** Fraction of an engine's stated keep-alive time-out during which an idle
 *  connection is reused. */
constexpr double max_idle_fraction = 0.6;
/** Maximum idle time of a connection that is reused for a request that must
 *  run at most once. If the engine closes the connection while the request is
 *  under way, it is unknown whether the request ran. */
constexpr auto max_idle_time_at_most_once = milliseconds(300);
/** Maximum size of an answer that is no stream, and of one event of a stream.
 *  A faulty engine may send bytes without end. */
constexpr std::uint64_t max_answer_bytes = 8'388'608;
constexpr std::size_t max_event_bytes = 262'144;
/** Statuses that an answer may end with. */
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
/** Longest wait for the memory of an answer, and its poll interval. Clients
 *  that do not read their answers have to yield by then. */
constexpr auto memory_wait_timeout = milliseconds(1'000);
constexpr auto memory_poll_interval = milliseconds(20);
/** Bytes that one read from an engine adds at most, and the first one. */
constexpr std::size_t max_read_bytes = 65'536;
constexpr std::size_t max_first_read_bytes = 512;
/** Number of answers to earlier requests that are skipped on a connection. */
constexpr std::size_t max_outdated_answers = 2;
/** A request ends once it has tried this many engines and the last one was
 *  unreachable. */
constexpr std::size_t max_unreachable_engines = 4;
/** The same if other VMs may reach engines. */
constexpr std::size_t max_unreachable_before_relay = 2;

} // namespace

bool exchange::try_engine(const placement& chosen)
{
    last_engine_ = chosen.engine.id;
    last_software_ = chosen.engine.software;
    auto result = send(chosen);
    engine_connection_.reset();
    last_unreachable_ = result.outcome == send_outcome::unreachable;
    const auto now = context_.clock.now();
    const bool abandoned_here =
        !result.answered && (client_.closed() || timed_out_ || memory_short_);
    if (!abandoned_here && (result.outcome == send_outcome::unreachable ||
                            result.outcome == send_outcome::broken))
        context_.connection_pool.record_doubt(chosen.engine);
    context_.selector.release(
        chosen.engine.id, placement_request_,
        abandoned_here ? send_outcome::abandoned : result.outcome, now);
    if (!result.answered)
        log_failed_send(chosen, result);
    if (answer_began_at_ && (result.served_whole || outlasted_start(now)) &&
        is_suspected())
        context_.control.report_suspect_served(traits(), *answer_began_at_);
    if (result.answered) {
        answered_ = true;
        if (result.ended_by_close)
            report_if_crashed(chosen);
        return false;
    }
    if (result.outcome == send_outcome::broken && !abandoned_here)
        report_if_crashed(chosen);
    tried_engines_.insert(chosen.engine.id);
    if (result.failure_answer) {
        last_failure_answer_ = std::move(result.failure_answer);
        last_failure_status_ = result.failure_status;
    }
    switch (result.outcome) {
    case send_outcome::unreachable:
        return tried_engines_.size() < (may_relay()
                                            ? max_unreachable_before_relay
                                            : max_unreachable_engines);
    case send_outcome::refused:
    case send_outcome::instance_mismatch:
        refused_by_engine_ = true;
        return true;
    default:
        return route_->repeatable() && !abandoned_here;
    }
}

exchange::send_result exchange::send(const placement& chosen)
{
    const auto now = context_.clock.now();
    engine_connection_ = context_.connection_pool.take_idle(chosen.engine, now);
    if (engine_connection_ && !route_->repeatable() &&
        now - engine_connection_->idle_since > max_idle_time_at_most_once)
        engine_connection_.reset();
    if (!engine_connection_) {
        engine_connection_ = context_.connection_pool.make();
        context_.metrics.add(counter::engine_connections);
        const auto timeout =
            std::min(connect_timeout,
                     std::chrono::duration_cast<milliseconds>(time_left()));
        const auto opened = context_.connection_pool.connect(
            chosen.engine, engine_connection_, timeout);
        if (!opened)
            return {send_outcome::unreachable};
    }
    if (!is_listed_incarnation(chosen.engine))
        return {send_outcome::instance_mismatch};
    // On a busy VM the client may have left before its request was read.
    if (client_.detect_close() || timed_out_)
        return {send_outcome::unreachable};
    return send_request(chosen);
}

std::string exchange::encode_for_engine(const placement& chosen) const
{
    send_metadata metadata;
    metadata.expected_engine = chosen.engine.id;
    if (customer_ != nullptr)
        metadata.customer = customer_->id;
    metadata.time_left = std::chrono::duration_cast<milliseconds>(time_left());
    metadata.priority = customer_ != nullptr && customer_->priority
                            ? *customer_->priority
                            : route_->priority;
    if (last_event_id_ > initial_event_id_)
        metadata.resume_after = last_event_id_;
    if (chosen.fetch_from)
        metadata.fetch_from = chosen.fetch_from->endpoint();
    auto header = platform::encode_request(request_, metadata);
    if (!request_.body().empty() || request_.method() == http::verb::post ||
        request_.method() == http::verb::put)
        header.set(http::field::content_length,
                   std::to_string(request_.body().size()));
    return header_text(header);
}

void exchange::write_request()
{
    const std::array buffers{
        boost::asio::buffer(std::as_const(engine_connection_->outgoing)),
        boost::asio::buffer(request_.body())};
    boost::asio::async_write(
        engine_connection_->socket, buffers,
        [connection = engine_connection_, &traffic = context_.link_bytes](
            const boost::system::error_code& fault, std::size_t bytes) {
            traffic.sent += bytes;
            connection->sending = fault.failed();
        });
}

exchange::send_result exchange::send_request(const placement& chosen)
{
    const auto connection = engine_connection_;
    connection->outgoing = encode_for_engine(chosen);
    connection->sending = true;
    ++send_count_;
    sent_at_ = context_.clock.now();
    answer_began_at_.reset();
    context_.metrics.add(counter::sends);
    if (last_event_id_ > initial_event_id_)
        context_.metrics.add(counter::resumes);
    const bool may_have_run_before = std::exchange(may_have_run_, true);
    write_request();
    send_result result;
    std::size_t outdated = 0;
    do {
        answer_parser parser;
        parser.body_limit(max_answer_bytes);
        if (request_.method() == http::verb::head)
            parser.skip(true);
        result = read_answer(parser, chosen);
    } while (result.outdated && ++outdated <= max_outdated_answers);
    if (result.outcome == send_outcome::refused ||
        result.outcome == send_outcome::instance_mismatch)
        may_have_run_ = may_have_run_before;
    if (result.outcome != send_outcome::served || connection->sending)
        connection->reset();
    return result;
}

bool exchange::read_some(answer_parser& parser)
{
    const auto read = await_io([&](auto handler) {
        http::async_read_some(engine_connection_->socket,
                              engine_connection_->buffer, parser,
                              std::move(handler));
    });
    context_.link_bytes.received += read.bytes;
    return !read.fault && !ended_during_upload(parser);
}

bool exchange::ended_during_upload(const answer_parser& parser) const
{
    // A failed write takes the connection's error; the next read then finds a
    // plain end.
    return parser.is_done() && parser.need_eof() && engine_connection_->sending;
}

exchange::send_result exchange::skip_outdated_answer(answer_parser& parser)
{
    while (!parser.is_done())
        if (!read_some(parser))
            return {send_outcome::broken};
    send_result result{send_outcome::broken};
    result.outdated = true;
    return result;
}

exchange::send_result exchange::read_answer(answer_parser& parser,
                                            const placement& chosen)
{
    const auto read = await_io([&](auto handler) {
        http::async_read_header(engine_connection_->socket,
                                engine_connection_->buffer, parser,
                                std::move(handler));
    });
    context_.link_bytes.received += read.bytes;
    if (read.fault)
        return {send_outcome::broken};
    const auto head = platform::decode_answer(parser.get(), request_head_.id);
    // An answer to an earlier request may come late, and then the own one
    // follows. On a new connection there is no earlier request.
    // A refusal without an id may be an earlier one, too.
    if (!head.request_id_matches && !engine_connection_->fresh &&
        (!head.request_id.empty() || head.not_executed))
        return skip_outdated_answer(parser);
    answer_began_at_ = context_.clock.now();
    record_engine_state(chosen, head);
    if (head.not_executed)
        return {head.status == 421 ? send_outcome::instance_mismatch
                                   : send_outcome::refused};
    if (!head.request_id_matches || head.encoded ||
        head.status < min_final_status || head.status > max_status)
        return {send_outcome::broken};
    const bool success = head.status < 300;
    if (success && !head.sealed)
        return {send_outcome::broken};
    if (stream_started_ && success && !continues_stream(parser))
        return {send_outcome::broken};
    if (success && route_->repeat == repeat_rule::stream) {
        parser.body_limit(
            boost::none); // The events are passed on as they come.
        return relay_stream(parser, head, chosen);
    }
    return relay_whole_answer(parser, head);
}

bool exchange::continues_stream(const answer_parser& parser) const
{
    const auto& answer = parser.get();
    const auto type = std::string(answer[http::field::content_type]);
    return answer.result_int() == stream_status_ &&
           (type.empty() || type == stream_content_type_ ||
            type.starts_with("text/event-stream"));
}

bool exchange::gather_body(answer_parser& parser)
{
    while (!parser.is_done())
        if (!charge_answer(parser, 0) || !read_some(parser))
            return false;
    return true;
}

bool exchange::charge_answer(const answer_parser& parser,
                             std::size_t pending_bytes)
{
    const auto& body = parser.get().body();
    const auto buffered = engine_connection_->buffer.capacity();
    // A read fills the buffer's capacity, or begins with a small one.
    const auto next =
        std::min(std::max(buffered, max_first_read_bytes), max_read_bytes);
    auto bytes = request_bytes_ + context_.memory.limits().engine_bytes +
                 buffered + pending_bytes;
    // The parser has allocated the whole length of a body that tells it.
    bytes +=
        parser.content_length()
            ? std::max<std::size_t>(*parser.content_length(), body.capacity())
            : grown_bytes(body.size(), body.capacity(), next);
    if (last_failure_answer_)
        bytes += last_failure_answer_->body.capacity();
    const auto deadline = context_.clock.now() + duration(memory_wait_timeout);
    while (!client_.charge(bytes)) {
        if (client_.closed() || timed_out_)
            return false;
        if (context_.clock.now() >= deadline) {
            memory_short_ = true;
            return false;
        }
        fiber_sleep(context_.io, memory_poll_interval);
    }
    return true;
}

exchange::send_result exchange::relay_whole_answer(answer_parser& parser,
                                                   const answer_head& head)
{
    if (!gather_body(parser))
        return {send_outcome::broken};
    auto body = std::move(parser.get().body());
    const bool success = head.status < 300;
    const bool framed = !parser.need_eof();
    return_to_pool(parser, head);
    http::response_header<> header(platform::forwardable_header(parser.get()));
    // Set by VMs only.
    header.erase(relay_no_engine_field);
    add_relay_fields(header);
    header.version(11);
    header.result(head.status);
    header.reason(parser.get().reason());
    header.set(http::field::content_length, std::to_string(body.size()));
    if (!keep_alive_)
        header.set(http::field::connection, "close");
    auto text = header_text(header);
    // The client has the head of a stream already: only events may follow.
    if (head.status >= 500 || stream_started_)
        return {send_outcome::served,
                false,
                false,
                !framed,
                whole_answer{std::move(text), std::move(body)},
                head.status};
    time_to_first_byte_ = elapsed();
    // An answer that arrives at the deadline still gets time to be written.
    const auto timeout = std::max<duration>(time_left(), milliseconds(500));
    const bool written = client_.write(text, body, timeout);
    return {send_outcome::served, written, success && framed, !framed};
}

void exchange::return_to_pool(const answer_parser& parser,
                              const answer_head& head)
{
    auto& connection = *engine_connection_;
    if (!parser.get().keep_alive() || head.leaving ||
        connection.buffer.size() > 0 || connection.sending)
        return connection.reset();
    connection.max_idle_time = engine_connection::default_max_idle_time;
    if (head.idle_timeout)
        connection.max_idle_time = std::chrono::duration_cast<duration>(
            *head.idle_timeout * max_idle_fraction);
    connection.outgoing.clear();
    connection.outgoing.shrink_to_fit();
    context_.connection_pool.keep(engine_connection_, context_.clock.now());
}

exchange::send_result exchange::relay_stream(answer_parser& parser,
                                             const answer_head& head,
                                             const placement& chosen)
{
    event_splitter splitter;
    while (true) {
        const auto body = std::exchange(parser.get().body(), {});
        std::string out;
        for (const auto& event : splitter.feed(body)) {
            if (event.id && *event.id != last_event_id_ + 1)
                return {send_outcome::broken};
            last_event_id_ += event.id ? 1 : 0;
            out += event.bytes;
        }
        if (splitter.pending_bytes() > max_event_bytes ||
            !charge_answer(parser, splitter.pending_bytes() + out.size()))
            return {send_outcome::broken};
        if (!out.empty())
            record_stream_begun(chosen);
        if (!out.empty() && !relay_events(out, parser))
            return {send_outcome::broken};
        if (parser.is_done())
            break;
        if (!read_some(parser))
            return {send_outcome::broken};
    }
    if (splitter.inside_event())
        return {send_outcome::broken};
    const bool framed = !parser.need_eof();
    return_to_pool(parser, head);
    if (!stream_started_ && !send_stream_header(parser))
        return {send_outcome::broken};
    const bool written = client_.write("0\r\n\r\n", time_left());
    return {send_outcome::served, written, framed, !framed};
}

bool exchange::relay_events(const std::string& bytes,
                            const answer_parser& parser)
{
    if (!stream_started_ && !send_stream_header(parser))
        return false;
    context_.metrics.add(counter::events_forwarded);
    return client_.write(encode_chunk(bytes), time_left());
}

bool exchange::send_stream_header(const answer_parser& parser)
{
    http::response_header<> header(platform::forwardable_header(parser.get()));
    // Set by VMs only.
    header.erase(relay_no_engine_field);
    add_relay_fields(header);
    header.version(11);
    header.result(parser.get().result_int());
    header.reason(parser.get().reason());
    header.set(http::field::transfer_encoding, "chunked");
    if (!keep_alive_)
        header.set(http::field::connection, "close");
    stream_started_ = true;
    stream_status_ = parser.get().result_int();
    stream_content_type_ = std::string(parser.get()[http::field::content_type]);
    time_to_first_byte_ = elapsed();
    return client_.write(header_text(header), time_left());
}

} // namespace rosemarydeck
