/** @file client_connection_base.cpp The requests of one client connection. */
#include "gateway/client_connection_base.hpp"

#include "gateway/relay_header_type.hpp"

#include <boost/beast/http/error.hpp>
#include <charconv>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Maximum wait for the next bytes of a request body. */
constexpr auto body_read_timeout = milliseconds(5'000);
/** Time limit for a client to accept the refusal of an unreadable request. */
constexpr auto refusal_write_timeout = milliseconds(1'000);
/** Time for a client to send the rest of a request that is refused before its
 *  end. */
constexpr auto refusal_discard_timeout = milliseconds(1'000);

/** Time limit for a VM to accept the configuration. */
constexpr auto config_write_timeout = milliseconds(1'000);

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
                                     boost::asio::ip::tcp::socket socket,
                                     bool from_vm)
    : context_(context), stream_(std::make_shared<client_stream>(
                             std::move(socket), context.link_bytes)),
      from_vm_(from_vm)
{
}

void client_connection::run()
{
    while (!stream_->closed()) {
        request_parser parser;
        if (!read_request(parser))
            break;
        serving_request_ = true;
        auto request = parser.release();
        std::optional<relayed_request> relayed;
        if (from_vm_)
            relayed = read_relay_fields(request);
        for (const auto* field : {relay_sends_field, relay_config_field,
                                  relay_vm_field, relay_paid_field})
            request.erase(field);
        if (from_vm_ && request.target() == config_copy_path) {
            send_config_copy(relayed->config_version);
            break;
        }
        exchange active_exchange(context_, *stream_, request, received_at_,
                                 relayed);
        const auto action = active_exchange.run();
        serving_request_ = false;
        if (action == connection_action::close)
            break;
        // A drain may have begun after the answer's header promised to keep
        // the connection. A request whose bytes have arrived is still served.
        if (context_.draining && stream_->buffer().size() == 0)
            break;
    }
    if (!stream_->closed())
        stream_->close();
}

void client_connection::close_if_idle()
{
    if (!serving_request_ && stream_->is_idle())
        stream_->close();
}

void client_connection::send_config_copy(std::uint64_t known_version)
{
    const auto& view = context_.view;
    const bool newer = view && view->config && view->config_text &&
                       view->config->config().version > known_version;
    const std::string none;
    const auto& text = newer ? *view->config_text : none;
    stream_->write(
        std::string(newer ? "HTTP/1.1 200 OK" : "HTTP/1.1 204 No Content") +
            "\r\nConnection: close\r\n" +
            (newer ? "Content-Length: " + std::to_string(text.size()) + "\r\n"
                   : "") +
            "\r\n" + text,
        config_write_timeout);
}

bool client_connection::read_request(request_parser& parser)
{
    const auto limits = context_.view && context_.view->config
                            ? context_.view->config->config().limits
                            : client_limits{};
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    parser.eager(true);
    if (stream_->buffer().size() == 0 &&
        !stream_->read_more(limits.idle_timeout))
        return false;
    received_at_ = context_.clock.now();
    const open_request_count counted(context_);
    const auto header_deadline = received_at_ + limits.header_timeout;
    while (true) {
        if (parse_buffered(parser))
            return true;
        // Only a chunk's size line or trailers that have no end yet stay
        // unparsed.
        if (!parse_error_ && parser.is_header_done() &&
            stream_->buffer().size() > limits.max_header_bytes)
            parse_error_ = http::error::header_limit;
        if (parse_error_) {
            refuse_unreadable(status_of_parse_error(parse_error_));
            return false;
        }
        const duration wait = parser.is_header_done()
                                  ? duration(body_read_timeout)
                                  : header_deadline - context_.clock.now();
        if (stream_->read_more(wait))
            continue;
        if (stream_->timed_out())
            refuse_unreadable(408);
        return false;
    }
}

bool client_connection::parse_buffered(request_parser& parser)
{
    auto& buffer = stream_->buffer();
    parse_error_ = {};
    while (buffer.size() > 0 && !parser.is_done()) {
        const auto used = parser.put(buffer.data(), parse_error_);
        buffer.consume(used);
        if (parse_error_ == http::error::need_more) {
            parse_error_ = {};
            return false;
        }
        if (parse_error_)
            return false;
        if (used == 0)
            break;
    }
    return parser.is_done();
}

void client_connection::refuse_unreadable(unsigned status)
{
    context_.metrics.add(counter::refused_malformed);
    context_.log.write("request_unreadable",
                       {{"status", status}, {"why", parse_error_.message()}});
    stream_->write("HTTP/1.1 " + std::to_string(status) + " " +
                       std::string(http::obsolete_reason(
                           static_cast<http::status>(status))) +
                       "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                   refusal_write_timeout);
    stream_->discard_input(refusal_discard_timeout);
}

} // namespace rosemarydeck
