/** @file exchange_answer.cpp Passing on of engines' answers. */
#include "gateway/exchange_base.hpp"

#include "gateway/header_text_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Fraction of an engine's stated keep-alive time-out during which an idle
 *  connection is reused. */
constexpr double max_idle_fraction = 0.6;
/** Longest wait for the memory of an answer, and its poll interval. Clients
 *  that do not read their answers have to yield by then. */
constexpr auto memory_wait_timeout = milliseconds(1'000);
constexpr auto memory_poll_interval = milliseconds(20);
/** Bytes that one read from an engine adds at most, and the first one. */
constexpr std::size_t max_read_bytes = 65'536;
constexpr std::size_t max_first_read_bytes = 512;
/** Maximum size of one event of a stream: a faulty engine may send bytes
 *  without end. */
constexpr std::size_t max_event_bytes = 262'144;

} // namespace

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
        if (splitter.pending_bytes() > max_event_bytes)
            send_fault_ = "an event doesn't end";
        if (!send_fault_.empty() ||
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
