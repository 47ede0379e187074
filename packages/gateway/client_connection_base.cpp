/** @file client_connection_base.cpp Reads a client's requests in turn. */
#include "gateway/client_connection_base.hpp"

#include <boost/beast/http/error.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Longest wait between two pieces of a body. */
constexpr auto body_timeout = milliseconds(5'000);
constexpr auto refusal_write_limit = milliseconds(1'000);
/** For a client to finish a request that is refused before its end. */
constexpr auto refusal_linger_limit = milliseconds(1'000);

unsigned status_of(const boost::system::error_code& fault)
{
    if (fault == http::error::header_limit)
        return 431;
    if (fault == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

client_connection::client_connection(traffic_context& shared,
                                     boost::asio::ip::tcp::socket socket)
    : shared_(shared),
      stream_(std::make_shared<client_stream>(std::move(socket)))
{
}

void client_connection::run()
{
    while (!stream_->closed()) {
        request_parser parser;
        if (!read_request(parser))
            break;
        serving_ = true;
        const auto request = parser.release();
        exchange one(shared_, *stream_, request);
        const auto next = one.run();
        serving_ = false;
        if (next == after_request::close)
            break;
        // The answer may have promised to keep the connection before a drain
        // began. A request that was read meanwhile is still served.
        if (shared_.draining && stream_->buffer().size() == 0)
            break;
    }
    if (!stream_->closed())
        stream_->close();
}

void client_connection::close_if_idle()
{
    if (!serving_ && stream_->idle())
        stream_->close();
}

bool client_connection::read_request(request_parser& parser)
{
    const auto limits = shared_.view && shared_.view->config
                            ? shared_.view->config->config().limits
                            : client_limits{};
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    parser.eager(true);
    if (stream_->buffer().size() == 0 && !stream_->fill(limits.idle_timeout))
        return false;
    const auto header_end = shared_.clock.now() + limits.header_timeout;
    while (true) {
        if (parse(parser))
            return true;
        if (fault_) {
            refuse(status_of(fault_));
            return false;
        }
        const duration wait = parser.is_header_done()
                                  ? duration(body_timeout)
                                  : header_end - shared_.clock.now();
        if (stream_->fill(wait))
            continue;
        if (stream_->timed_out())
            refuse(408);
        return false;
    }
}

bool client_connection::parse(request_parser& parser)
{
    auto& buffer = stream_->buffer();
    fault_ = {};
    while (buffer.size() > 0 && !parser.is_done()) {
        const auto used = parser.put(buffer.data(), fault_);
        buffer.consume(used);
        if (fault_ == http::error::need_more) {
            fault_ = {};
            return false;
        }
        if (fault_)
            return false;
        if (used == 0)
            break;
    }
    return parser.is_done();
}

void client_connection::refuse(unsigned status)
{
    shared_.metrics.add(counter::refused_malformed);
    shared_.log.write("request_unreadable",
                      {{"status", status}, {"why", fault_.message()}});
    stream_->write("HTTP/1.1 " + std::to_string(status) + " " +
                       std::string(http::obsolete_reason(
                           static_cast<http::status>(status))) +
                       "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                   refusal_write_limit);
    stream_->linger(refusal_linger_limit);
}

} // namespace rosemarydeck
