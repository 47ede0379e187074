/** @file client_connection_base.hpp The requests of one client connection. */
#pragma once

#include "gateway/exchange_base.hpp"

namespace rosemarydeck
{

/** Reads the requests of one client connection and serves them one after the
 *  other. The connection's own fiber calls run(). */
class client_connection
{
public:
    /** @param stream Has been entered in the account.
     *  @param from_vm The other end is a VM that passes requests on. */
    client_connection(traffic_context& context,
                      std::shared_ptr<client_stream> stream, bool from_vm);

    /** Serves requests until the connection ends. */
    void run();
    /** Ends the connection if no request is being read or served. */
    void close_if_idle();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Why a request that has begun is not read to its end. */
    struct refusal
    {
        unsigned status = 0;
        std::string reason;
        std::optional<milliseconds> retry_after;
    };

    /** Waits for the first byte of a request. @return False if the connection
     *  is to end. */
    bool wait_for_request(const client_limits& limits);
    /** Reads a whole request within the configured limits and time-outs.
     *  @return None if the connection is to end. refusal_ is set if the request
     *  is to be refused first. */
    std::optional<client_request> read_request();
    bool read_whole(request_parser& parser, const client_limits& limits);
    /** Reads more bytes, or sets refusal_ if they are late. */
    bool read_more(const request_parser& parser, const client_limits& limits);
    /** Parses the buffered bytes. Sets refusal_ if they are malformed or exceed
     *  a limit. @return True if the request is complete. */
    bool parse_buffered(request_parser& parser, const client_limits& limits);
    /** Parses until the header is complete or the bytes are used up. */
    boost::system::error_code parse_once(request_parser& parser);
    /** Charges what the request takes after more bytes were read and parsed.
     *  @return False, with refusal_ set, if there is no room. */
    bool charge(const request_parser& parser, std::size_t unread,
                std::size_t unparsed);
    /** @return When the request's time ends, as far as its header tells. */
    [[nodiscard]] time_point body_deadline(const request_parser& parser) const;
    /** Serves a request. @return True to keep the connection. */
    bool serve(client_request& request);
    /** Asks the store on behalf of another VM whether the configuration in
     *  force is the newest, unless that was known so long ago at most. */
    void confirm_config(milliseconds max_age);
    /** Sends a VM the configuration if it is newer than what that VM knows, and
     *  how long ago it was the newest. */
    void send_config_copy(std::uint64_t known_version);
    /** Answers a request that is not read to its end with an error and
     *  discards the rest of its bytes. */
    void refuse_unreadable();

    traffic_context& context_;
    std::shared_ptr<client_stream> stream_;
    const bool from_vm_;
    bool serving_request_ = false;
    time_point received_at_{};       ///< First byte of the last request.
    std::optional<refusal> refusal_; ///< Of the request being read.
    std::size_t head_bytes_ = 0;     ///< Allocated for its header.
    std::optional<time_point> body_deadline_;
};

} // namespace rosemarydeck
