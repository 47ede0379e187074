/** @file caller_session_base.hpp One caller's connection. */
#pragma once

#include "settings/settings_type.hpp"
#include "timeline/timeline_base.hpp"
#include "web/answer_store_base.hpp"
#include "web/chat_request_func.hpp"

#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace rosemarydeck
{

/** How traffic reaches the control thread; each call waits in its fiber. */
struct control_port
{
    std::function<void(core_event)> tell;
    std::function<std::string()> status;  ///< JSON.
    std::function<std::string()> metrics; ///< Text exposition.
    std::function<std::string(const timeline_filter&)> timeline; ///< JSON.
    std::function<platform_result(const platform_request&)> platform;
    std::function<bool()> ready;    ///< Takes new requests.
    std::function<bool()> stopping; ///< Closes idle connections.
};

/** What all sessions share. */
struct session_shared
{
    const settings& values;
    control_port& control;
    answer_store& answers;
    std::atomic<std::size_t>& busy; ///< Sessions that serve a request.
};

/** Serves one connection in its own fiber. */
class caller_session
{
public:
    caller_session(boost::asio::io_context& context,
                   boost::asio::ip::tcp::socket socket, session_shared& shared);

    /** Serves requests until the connection is closed. */
    void run();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool read_next(http_request& into);
    void linger();
    bool refuse_unreadable(const boost::system::error_code& fault,
                           const request_parser& parser);
    bool serve(const http_request& request);
    bool serve_work(const http_request& request);
    bool serve_key(const http_request& request);
    bool serve_operator(const http_request& request);
    http_response operator_reply(const http_request& request);
    http_response platform_reply_for(const http_request& request);
    bool answer_from(const http_request& request,
                     std::shared_ptr<answer_log> log, bool stream);
    bool relay(const http_request& request, const follow_peer& to);
    bool write(http_response response, const http_request& request);
    bool write_part(const answer_part& part, bool stream, bool& started,
                    bool keep_alive);
    bool write_raw(const std::string& bytes);
    bool fail_started(const refuse_request& refusal);

    boost::asio::io_context& context_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    session_shared& shared_;
};

} // namespace rosemarydeck
