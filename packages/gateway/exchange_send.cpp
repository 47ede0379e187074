/** @file exchange_send.cpp Sending of requests to engines. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"
#include "gateway/relay_header_type.hpp"
#include "web/fiber_scheduler_base.hpp"

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
/** Maximum idle time of a connection that is reused for a request that must
 *  run at most once. If the engine closes the connection while the request is
 *  under way, it is unknown whether the request ran. */
constexpr auto max_idle_time_at_most_once = milliseconds(300);
/** Maximum size of an answer that is no stream. A faulty engine may send bytes
 *  without end. */
constexpr std::uint64_t max_answer_bytes = 8'388'608;
/** Statuses that an answer may end with. */
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
/** Maximum size of the body of an answer to an earlier request. With more, the
 *  connection costs more than a new one. */
constexpr std::uint64_t max_outdated_bytes = 1'048'576;
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
    send_fault_.clear();
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
    if (read.fault)
        send_fault_ = read.fault.message();
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
    std::uint64_t skipped = parser.content_length().value_or(0);
    while (!parser.is_done()) {
        // Nobody needs the body, but the parser allocates what it has a length
        // for.
        if (skipped > max_outdated_bytes) {
            send_fault_ = "an answer to another request doesn't end";
            return {send_outcome::broken};
        }
        if (!charge_answer(parser, 0) || !read_some(parser))
            return {send_outcome::broken};
        const auto body = std::exchange(parser.get().body(), {});
        skipped += parser.content_length() ? 0 : body.size();
    }
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
    if (read.fault) {
        send_fault_ = read.fault.message();
        return {send_outcome::broken};
    }
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

} // namespace rosemarydeck
