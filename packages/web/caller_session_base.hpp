/** @file caller_session_base.hpp One caller's connection. */
#pragma once

#include "router/memory_account_base.hpp"
#include "settings/settings_type.hpp"
#include "timeline/timeline_base.hpp"
#include "web/answer_store_base.hpp"
#include "web/chat_request_func.hpp"

#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace rosemarydeck
{

/**
 * Access of the traffic threads to the control thread. A call that needs a
 * reply from the control thread suspends the calling fiber until it has it.
 */
struct control_interface
{
    /** Queues an event for the core. */
    std::function<void(core_event)> tell;
    /** Returns the core's status as JSON. */
    std::function<std::string()> status;
    /** Returns all metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
    /** Returns the matching events of the time line as JSON. */
    std::function<std::string(const timeline_filter&)> timeline;
    /** Executes an operator's platform call. */
    std::function<platform_result(const platform_request&)> platform;
    std::function<bool()> ready;    ///< Whether new requests are accepted.
    std::function<bool()> stopping; ///< Connections close after an answer.
};

/** References shared by all sessions of a caller_service. */
struct shared_session_state
{
    const settings& values;
    control_interface& control;
    answer_store& answers;
    memory_account& memory;
    /** Number of sessions that are serving a request. */
    std::atomic<std::size_t>& busy_sessions;
};

/** Serves the requests of one caller connection, in its own fiber. */
class caller_session
{
public:
    /** @param holder Number of the connection in the account. */
    caller_session(boost::asio::io_context& context,
                   boost::asio::ip::tcp::socket socket,
                   shared_session_state& shared, holder_id holder);

    /** Serves requests until the connection ends. */
    void run();
    /** Closes the connection, to make room for others. */
    void close_now();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool read_next_request(http_request& request);
    /** Reads a request, charging its memory before it grows. */
    boost::system::error_code read_whole(request_parser& parser);
    /** @return False if there is no room for the next read. */
    bool charge(const request_parser& parser);
    bool charge(std::size_t bytes);
    void discard_input();
    bool refuse_unreadable(const boost::system::error_code& fault,
                           const request_parser& parser);
    bool serve(const http_request& request);
    bool serve_backend_request(const http_request& request);
    bool serve_key(const http_request& request);
    bool serve_operator(const http_request& request);
    http_response operator_reply(const http_request& request);
    http_response platform_reply_for(const http_request& request);
    bool send_answer(const http_request& request,
                     std::shared_ptr<answer_log> log, bool stream);
    bool relay(const http_request& request, const relay_to_peer& peer);
    bool write(http_response response, const http_request& request);
    bool write_part(const answer_part& part, bool stream, bool& started,
                    bool keep_alive);
    bool write_bytes(const std::string& bytes);
    bool send_error_in_stream(const refuse_request& refusal);

    boost::asio::io_context& context_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    shared_session_state& shared_;
    holder_id holder_;
    runtime_clock clock_;
    bool closed_to_yield_ = false;
};

} // namespace rosemarydeck
