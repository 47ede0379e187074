/** @file exchange_send.cpp Serves one request: sends to engines. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <sstream>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Engines accept within a round trip; more means that one is cut off. */
constexpr auto connect_timeout = milliseconds(300);
/** Engines that state no time-out close idle connections after a second. */
constexpr auto default_idle_limit = milliseconds(500);
/** Part of the stated time after which a connection isn't reused. */
constexpr double idle_part = 0.6;
/** A request that must run at most once goes only on connections this young,
 *  since a close that crosses it leaves its fate unknown. */
constexpr auto once_idle_limit = milliseconds(300);
/** Long enough for a few round trips to an engine. */
constexpr auto probe_timeout = milliseconds(100);
/** Sends that reached no engine, for one request. */
constexpr std::size_t max_unreachable = 4;

std::string chunk_of(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace

bool exchange::send_once(const placement& place)
{
    engine_ = place.engine.id;
    const auto result = send(place);
    connection_.reset();
    const auto now = shared_.clock.now();
    const bool own_end = !result.answered && (client_.closed() || timed_out_);
    shared_.selector.release(place.engine.id, need_,
                             own_end ? send_outcome::abandoned : result.outcome,
                             now);
    if (!result.answered)
        log_failure(place, result);
    if (result.answered) {
        answered_ = true;
        if (!view_->suspected.empty() &&
            view_->suspected.count(fingerprint()) > 0)
            shared_.control.report_suspect_served(fingerprint());
        return false;
    }
    if (result.outcome == send_outcome::broken && !own_end)
        look_for_crash(place);
    tried_.insert(place.engine.id);
    if (result.failure) {
        last_failure_ = result.failure;
        last_failure_status_ = result.failure_status;
    }
    switch (result.outcome) {
    case send_outcome::unreachable:
        return tried_.size() < max_unreachable;
    case send_outcome::refused:
    case send_outcome::instance_mismatch:
        refused_by_engine_ = true;
        return true;
    default:
        return route_->repeatable() && !own_end;
    }
}

void exchange::log_failure(const placement& place,
                           const send_result& result) const
{
    shared_.log.write("send_failed", {{"req", head_.id},
                                      {"engine", place.engine.id.value()},
                                      {"address", place.engine.endpoint()},
                                      {"outcome", name_of(result.outcome)},
                                      {"engine_status", result.failure_status},
                                      {"client_gone", client_.closed() ? 1 : 0},
                                      {"timed_out", timed_out_ ? 1 : 0},
                                      {"events", last_event_ - first_event_},
                                      {"ms", age()}});
}

void exchange::look_for_crash(const placement& place)
{
    // An engine that still takes connections has not gone down.
    auto probe = shared_.pool.make();
    if (shared_.pool.connect(place.engine, probe, probe_timeout)) {
        probe->max_idle_time = default_idle_limit;
        shared_.pool.keep(std::move(probe), shared_.clock.now());
        return;
    }
    shared_.control.report_crash(fingerprint(), place.engine.id);
}

exchange::send_result exchange::send(const placement& place)
{
    const auto now = shared_.clock.now();
    connection_ = shared_.pool.take_idle(place.engine, now);
    if (connection_ && !route_->repeatable() &&
        now - connection_->idle_since > once_idle_limit)
        connection_.reset();
    if (!connection_) {
        connection_ = shared_.pool.make();
        shared_.metrics.add(counter::engine_connections);
        const auto limit =
            std::min(connect_timeout,
                     std::chrono::duration_cast<milliseconds>(time_left()));
        const auto opened =
            shared_.pool.connect(place.engine, connection_, limit);
        if (!opened)
            return {send_outcome::unreachable};
    }
    if (client_.closed() || timed_out_)
        return {send_outcome::unreachable};
    return talk(place);
}

std::string exchange::encode(const placement& place) const
{
    send_metadata order;
    order.expected_engine = place.engine.id;
    if (customer_ != nullptr)
        order.customer = customer_->id;
    order.time_left = std::chrono::duration_cast<milliseconds>(time_left());
    order.priority = customer_ != nullptr && customer_->priority
                         ? *customer_->priority
                         : route_->priority;
    if (last_event_ > first_event_)
        order.resume_after = last_event_;
    if (place.fetch_from)
        order.fetch_from = place.fetch_from->endpoint();
    auto header = platform::encode_request(request_, order);
    if (!request_.body().empty() || request_.method() == http::verb::post ||
        request_.method() == http::verb::put)
        header.set(http::field::content_length,
                   std::to_string(request_.body().size()));
    return header_text(header) + request_.body();
}

exchange::send_result exchange::talk(const placement& place)
{
    const auto connection = connection_;
    connection->outgoing = encode(place);
    connection->sending = true;
    ++sends_;
    shared_.metrics.add(counter::sends);
    if (last_event_ > first_event_)
        shared_.metrics.add(counter::resumes);
    const bool ran_before = std::exchange(may_have_run_, true);
    // Sent in the background: an engine may answer before it has read all.
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(connection->outgoing),
        [connection](const boost::system::error_code& fault, std::size_t) {
            connection->sending = fault.failed();
        });
    answer_parser parser;
    parser.body_limit(boost::none);
    if (request_.method() == http::verb::head)
        parser.skip(true);
    auto result = read_answer(parser);
    if (result.outcome == send_outcome::refused ||
        result.outcome == send_outcome::instance_mismatch)
        may_have_run_ = ran_before;
    if (result.outcome != send_outcome::served || connection->sending)
        connection->reset();
    return result;
}

bool exchange::read_some(answer_parser& parser)
{
    const auto read = await_io([&](auto handler) {
        http::async_read_some(connection_->socket, connection_->buffer, parser,
                              std::move(handler));
    });
    return !read.fault;
}

exchange::send_result exchange::read_answer(answer_parser& parser)
{
    const auto read = await_io([&](auto handler) {
        http::async_read_header(connection_->socket, connection_->buffer,
                                parser, std::move(handler));
    });
    if (read.fault)
        return {send_outcome::broken};
    const auto head = platform::decode_answer(parser.get(), head_.id);
    if (head.not_executed)
        return {head.status == 421 ? send_outcome::instance_mismatch
                                   : send_outcome::refused};
    if (!head.request_id_matches || head.encoded || head.status < 200)
        return {send_outcome::broken};
    const bool success = head.status < 300;
    if (success && !head.sealed)
        return {send_outcome::broken};
    if (success && route_->repeat == repeat_rule::stream)
        return read_stream(parser, head);
    return read_whole(parser, head);
}

exchange::send_result exchange::read_whole(answer_parser& parser,
                                           const answer_head& head)
{
    while (!parser.is_done())
        if (!read_some(parser))
            return {send_outcome::broken};
    const auto body = std::move(parser.get().body());
    keep_connection(parser, head);
    http::response_header<> header(platform::forwardable(parser.get()));
    header.version(11);
    header.result(head.status);
    header.reason(parser.get().reason());
    header.set(http::field::content_length, std::to_string(body.size()));
    if (!keep_)
        header.set(http::field::connection, "close");
    auto text = header_text(header) + body;
    if (head.status >= 500)
        return {send_outcome::served, false, std::move(text), head.status};
    first_byte_ = age();
    const auto limit = std::max<duration>(time_left(), milliseconds(500));
    const bool written = client_.write(text, limit);
    return {send_outcome::served, written};
}

void exchange::keep_connection(const answer_parser& parser,
                               const answer_head& head)
{
    auto& connection = *connection_;
    if (!parser.get().keep_alive() || connection.buffer.size() > 0 ||
        connection.sending)
        return connection.reset();
    connection.max_idle_time = default_idle_limit;
    if (head.idle_timeout)
        connection.max_idle_time = std::chrono::duration_cast<duration>(
            *head.idle_timeout * idle_part);
    connection.outgoing.clear();
    connection.outgoing.shrink_to_fit();
    shared_.pool.keep(connection_, shared_.clock.now());
}

exchange::send_result exchange::read_stream(answer_parser& parser,
                                            const answer_head& head)
{
    event_splitter splitter;
    while (true) {
        const auto body = std::exchange(parser.get().body(), {});
        std::string out;
        for (const auto& event : splitter.feed(body)) {
            if (event.id && *event.id != last_event_ + 1)
                return {send_outcome::broken};
            last_event_ += event.id ? 1 : 0;
            out += event.bytes;
        }
        if (!out.empty() && !forward_events(out, parser))
            return {send_outcome::broken};
        if (parser.is_done())
            break;
        if (!read_some(parser))
            return {send_outcome::broken};
    }
    if (splitter.inside_event())
        return {send_outcome::broken};
    keep_connection(parser, head);
    if (!stream_started_ && !start_stream(parser))
        return {send_outcome::broken};
    const bool ended = client_.write("0\r\n\r\n", time_left());
    return {send_outcome::served, ended};
}

bool exchange::forward_events(const std::string& bytes,
                              const answer_parser& parser)
{
    if (!stream_started_ && !start_stream(parser))
        return false;
    shared_.metrics.add(counter::events_forwarded);
    return client_.write(chunk_of(bytes), time_left());
}

bool exchange::start_stream(const answer_parser& parser)
{
    http::response_header<> header(platform::forwardable(parser.get()));
    header.version(11);
    header.result(parser.get().result_int());
    header.reason(parser.get().reason());
    header.set(http::field::transfer_encoding, "chunked");
    if (!keep_)
        header.set(http::field::connection, "close");
    stream_started_ = true;
    first_byte_ = age();
    return client_.write(header_text(header), time_left());
}

} // namespace rosemarydeck
