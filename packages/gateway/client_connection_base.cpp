/** @file client_connection_base.cpp The requests of one client connection. */
#include "gateway/client_connection_base.hpp"

#include "gateway/header_text_func.hpp"
#include "gateway/relay_header_type.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <charconv>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Maximum wait for the next bytes of a request body. */
constexpr auto body_read_timeout = milliseconds(5'000);
/** Longest time for a request whose route names none. */
constexpr auto max_request_time = milliseconds(60'000);
/** Time limit for a client to accept the refusal of an unreadable request. */
constexpr auto refusal_write_timeout = milliseconds(1'000);
/** Time for a client to send the rest of a request that is refused before its
 *  end. */
constexpr auto refusal_discard_timeout = milliseconds(1'000);

/** Bytes that one read from a client adds at most. */
constexpr std::size_t read_bytes = 8'192;
/** Allocated for each header field and for each part of a list in one, beyond
 *  the text. */
constexpr std::size_t field_overhead_bytes = 96;
constexpr std::size_t list_item_bytes = 96;
/** Retry-After for a request that finds no memory: unfinished requests that
 *  hold it end within seconds. */
constexpr auto retry_after_memory = milliseconds(1'000);

/** Longest wait for the store's word on behalf of another VM, which waits less
 *  than half as long. */
constexpr auto config_check_timeout = milliseconds(1'000);
constexpr auto config_check_poll_interval = milliseconds(10);
/** Time limit for a VM to accept the configuration. */
constexpr auto config_write_timeout = milliseconds(1'000);

/** @return Bytes allocated for a header and for what is decoded from it. */
std::size_t allocated_bytes(const client_request& request)
{
    std::size_t bytes = 2 * request.target().size();
    for (const auto& field : request) {
        const auto value = field.value();
        const auto items = std::count(value.begin(), value.end(), ',');
        // Once more for the header that is sent to an engine.
        bytes += 2 * (field.name_string().size() + value.size() +
                      field_overhead_bytes) +
                 static_cast<std::size_t>(items) * list_item_bytes;
    }
    return bytes;
}

std::string refusal_text(unsigned status,
                         std::optional<milliseconds> retry_after)
{
    http::response_header<> header(
        platform::local_answer_header("", retry_after));
    header.version(11);
    header.result(status);
    header.set(http::field::content_length, "0");
    header.set(http::field::connection, "close");
    return header_text(header);
}

unsigned status_of_parse_error(const boost::system::error_code& fault)
{
    if (fault == http::error::header_limit)
        return 431;
    if (fault == http::error::body_limit)
        return 413;
    return 400;
}

/** Counts a request as open while it is read, so that a drain waits for it. */
class open_request_count
{
public:
    explicit open_request_count(traffic_context& context) : context_(context)
    {
        ++context_.open_requests;
    }
    ~open_request_count() { --context_.open_requests; }
    open_request_count(const open_request_count&) = delete;
    open_request_count& operator=(const open_request_count&) = delete;

private:
    traffic_context& context_;
};

template <class Number>
Number number_in(const client_request& request, const char* field)
{
    Number number = 0;
    const auto text = request[field];
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

relayed_request read_relay_fields(const client_request& request)
{
    return {number_in<std::uint32_t>(request, relay_sends_field),
            number_in<std::uint64_t>(request, relay_config_field),
            vm_id(std::string(request[relay_vm_field])),
            request.find(relay_paid_field) != request.end()};
}

} // namespace

client_connection::client_connection(traffic_context& context,
                                     std::shared_ptr<client_stream> stream,
                                     bool from_vm)
    : context_(context), stream_(std::move(stream)), from_vm_(from_vm)
{
    stream_->set_parting_answer(refusal_text(503, retry_after_memory));
}

void client_connection::run()
{
    while (!stream_->closed()) {
        stream_->set_state(peer_state::idle);
        auto request = read_request();
        if (!request) {
            if (refusal_)
                refuse_unreadable();
            break;
        }
        serving_request_ = true;
        stream_->set_state(peer_state::served);
        const bool keep = serve(*request);
        serving_request_ = false;
        if (!keep)
            break;
        request.reset();
        stream_->trim_buffer();
        stream_->charge(stream_->buffer().capacity());
    }
    if (!stream_->closed())
        stream_->close();
}

bool client_connection::serve(client_request& request)
{
    std::optional<relayed_request> relayed;
    if (from_vm_)
        relayed = read_relay_fields(request);
    const auto confirm_within =
        number_in<std::uint32_t>(request, relay_confirm_field);
    for (const auto* field :
         {relay_sends_field, relay_config_field, relay_vm_field,
          relay_paid_field, relay_confirm_field})
        request.erase(field);
    if (from_vm_ && request.target() == config_copy_path) {
        if (confirm_within > 0)
            confirm_config(milliseconds(confirm_within));
        send_config_copy(relayed->config_version);
        return false;
    }
    exchange active_exchange(context_, *stream_, request, received_at_,
                             relayed);
    if (active_exchange.run() == connection_action::close)
        return false;
    // A drain may have begun after the answer's header promised to keep the
    // connection. A request whose bytes have arrived is still served.
    return !context_.draining || stream_->buffer().size() > 0;
}

void client_connection::close_if_idle()
{
    if (!serving_request_ && stream_->is_idle())
        stream_->close();
}

void client_connection::confirm_config(milliseconds max_age)
{
    const auto version = [this] {
        return context_.view && context_.view->config
                   ? context_.view->config->config().version
                   : 0;
    };
    if (context_.knowledge.may_deny(version(), max_age,
                                    context_.confirmation_clock.now()))
        return;
    const auto check = std::make_shared<config_check>();
    check->from_vm = true;
    context_.control.check_config(check);
    const auto deadline = context_.clock.now() + duration(config_check_timeout);
    // A newer version reaches this thread a moment after the answer.
    while ((!check->done || (check->confirmed_version &&
                             version() < *check->confirmed_version)) &&
           context_.clock.now() < deadline)
        fiber_sleep(context_.io, config_check_poll_interval);
}

void client_connection::send_config_copy(std::uint64_t known_version)
{
    const auto view = context_.view; // Owns the text while it is written.
    const auto version =
        view && view->config ? view->config->config().version : 0;
    const bool newer = view && view->config_text && version > known_version;
    const std::string none;
    const auto& text = newer ? *view->config_text : none;
    http::response_header<> header;
    header.version(11);
    header.result(newer ? http::status::ok : http::status::no_content);
    header.set(http::field::connection, "close");
    header.set(relay_config_field, std::to_string(version));
    const auto known = context_.knowledge.evidence();
    if (known.confirmed && known.confirmed_version == version)
        header.set(
            relay_confirmed_field,
            age_text(known.confirmed, context_.confirmation_clock.now()));
    if (newer)
        header.set(http::field::content_length, std::to_string(text.size()));
    stream_->write(header_text(header), text, config_write_timeout);
}

bool client_connection::wait_for_request(const client_limits& limits)
{
    if (stream_->buffer().size() == 0 &&
        !stream_->read_more(limits.idle_timeout))
        return false;
    received_at_ = context_.clock.now();
    stream_->set_state(peer_state::reading);
    return true;
}

std::optional<client_request> client_connection::read_request()
{
    const auto limits = context_.view && context_.view->config
                            ? context_.view->config->config().limits
                            : client_limits{};
    refusal_.reset();
    body_deadline_.reset();
    head_bytes_ = 0;
    if (!wait_for_request(limits))
        return std::nullopt;
    const open_request_count counted(context_);
    request_parser parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    if (!read_whole(parser, limits))
        return std::nullopt;
    return parser.release();
}

bool client_connection::read_whole(request_parser& parser,
                                   const client_limits& limits)
{
    while (true) {
        if (!charge(parser, 0, stream_->buffer().size()))
            return false;
        if (parse_buffered(parser, limits))
            return charge(parser, 0, 0);
        if (refusal_ || !charge(parser, read_bytes, 0) ||
            !read_more(parser, limits))
            return false;
    }
}

bool client_connection::read_more(const request_parser& parser,
                                  const client_limits& limits)
{
    const auto now = context_.clock.now();
    duration wait = received_at_ + limits.header_timeout - now;
    if (parser.is_header_done()) {
        if (!body_deadline_)
            body_deadline_ = body_deadline(parser);
        wait = std::min<duration>(body_read_timeout, *body_deadline_ - now);
    }
    if (stream_->read_more(std::max(wait, duration(0))))
        return true;
    if (stream_->yielded())
        refusal_ = {503, "memory_short", retry_after_memory};
    else if (stream_->timed_out())
        refusal_ = {408, "timed_out", {}};
    return false;
}

time_point client_connection::body_deadline(const request_parser& parser) const
{
    const auto head = platform::decode_request(parser.get());
    duration longest = max_request_time;
    const auto& view = context_.view;
    const auto* route = view && view->config
                            ? view->config->route(head.host, head.target)
                            : nullptr;
    if (route != nullptr && route->timeout > milliseconds(0))
        longest = route->timeout;
    if (head.deadline)
        longest = std::min<duration>(longest, *head.deadline);
    return received_at_ + longest;
}

bool client_connection::charge(const request_parser& parser, std::size_t unread,
                               std::size_t unparsed)
{
    const auto& buffer = stream_->buffer();
    const auto& body = parser.get().body();
    if (parser.is_header_done() && head_bytes_ == 0)
        head_bytes_ = allocated_bytes(parser.get());
    // The parser allocates the whole length of a body when it begins.
    const auto length = parser.is_header_done() && !parser.chunked()
                            ? parser.content_length().value_or(0)
                            : 0;
    const auto bytes =
        head_bytes_ + grown_bytes(buffer.size(), buffer.capacity(), unread) +
        (parser.is_header_done()
             ? std::max<std::size_t>(length,
                                     grown_bytes(body.size(), body.capacity(),
                                                 length > 0 ? 0 : unparsed))
             : 0);
    if (stream_->charge(bytes))
        return true;
    if (!stream_->closed())
        refusal_ = {503, "memory_short", retry_after_memory};
    return false;
}

boost::system::error_code client_connection::parse_once(request_parser& parser)
{
    auto& buffer = stream_->buffer();
    boost::system::error_code fault;
    while (buffer.size() > 0 && !parser.is_done() && !fault) {
        const bool in_header = !parser.is_header_done();
        const auto used = parser.put(buffer.data(), fault);
        buffer.consume(used);
        // The body's memory is charged before the parser allocates it.
        if (in_header && parser.is_header_done())
            break;
        if (used == 0)
            break;
    }
    return fault == http::error::need_more ? boost::system::error_code()
                                           : fault;
}

bool client_connection::parse_buffered(request_parser& parser,
                                       const client_limits& limits)
{
    auto& buffer = stream_->buffer();
    const bool in_header = !parser.is_header_done();
    auto fault = parse_once(parser);
    if (!fault && in_header && parser.is_header_done() && !parser.is_done()) {
        parser.eager(true);
        if (!charge(parser, 0, buffer.size()))
            return false;
        fault = parse_once(parser);
    }
    if (fault)
        refusal_ = {status_of_parse_error(fault), fault.message(), {}};
    // Only a chunk's size line or trailers that have no end yet stay unparsed.
    else if (parser.is_header_done() && !parser.is_done() &&
             buffer.size() > limits.max_header_bytes)
        refusal_ = {431, "chunk line or trailers too long", {}};
    return !refusal_ && parser.is_done();
}

void client_connection::refuse_unreadable()
{
    stream_->set_state(peer_state::refusing);
    stream_->charge(stream_->buffer().capacity());
    context_.metrics.add(refusal_->status == 503 ? counter::refused_memory
                                                 : counter::refused_malformed);
    context_.log.write("request_unreadable", {{"status", refusal_->status},
                                              {"why", refusal_->reason}});
    if (stream_->write(refusal_text(refusal_->status, refusal_->retry_after),
                       refusal_write_timeout))
        stream_->discard_input(refusal_discard_timeout);
}

} // namespace rosemarydeck
