/** @file exchange_base.hpp Serves one request of one client. */
#pragma once

#include "gateway/client_stream_base.hpp"
#include "gateway/event_splitter_base.hpp"
#include "gateway/traffic_context_type.hpp"
#include "platform/platform_header_func.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace rosemarydeck
{

using client_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/** What happens to the client's connection after a request. */
enum class after_request
{
    keep,
    close,
};

/** Serves one request: route, budget, sends to engines, answer. */
class exchange
{
public:
    exchange(traffic_context& shared, client_stream& client,
             const client_request& request);

    /** Runs in the connection's fiber until the answer is out. */
    after_request run();

private:
    using answer_parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    /** How one send went. */
    struct send_result
    {
        send_outcome outcome = send_outcome::broken;
        bool answered = false; ///< The client has its whole answer.
        /** A whole answer of the engine's that is not a success. */
        std::optional<std::string> failure;
        unsigned failure_status = 0;
    };

    // What the client asked for.
    bool admit();
    bool authorize();
    bool reserve();
    bool take_tokens(token_count charge);
    [[nodiscard]] token_count budget_left() const;
    bool reserve_waiting();
    bool crashes_engines() const;
    [[nodiscard]] request_fingerprint fingerprint() const;
    service_id pick_service() const;

    // Sends.
    void serve();
    bool may_send_again();
    bool send_once(const placement& place);
    void look_for_crash(const placement& place);
    void log_failure(const placement& place, const send_result& result) const;
    send_result send(const placement& place);
    send_result talk(const placement& place);
    std::string encode(const placement& place) const;
    send_result read_answer(answer_parser& parser);
    send_result read_whole(answer_parser& parser, const answer_head& head);
    send_result read_stream(answer_parser& parser, const answer_head& head);
    bool read_some(answer_parser& parser);
    bool forward_events(const std::string& bytes, const answer_parser& parser);
    bool start_stream(const answer_parser& parser);
    void keep_connection(const answer_parser& parser, const answer_head& head);

    // Answers.
    void finish();
    bool refuse(unsigned status, counter why, const char* reason,
                std::optional<milliseconds> retry_after = std::nullopt);
    bool write_answer(unsigned status, platform::header_fields fields,
                      const std::string& body);
    void settle();
    void log_end(const char* outcome, unsigned status);

    [[nodiscard]] duration time_left() const;
    [[nodiscard]] duration age() const;
    [[nodiscard]] bool over() const;
    void cancel_send();

    traffic_context& shared_;
    client_stream& client_;
    const client_request& request_;
    request_head head_;
    std::shared_ptr<const fleet_view> view_;     ///< Newest one.
    std::shared_ptr<const config_index> config_; ///< Of the admission.
    const route_rule* route_ = nullptr;
    const customer_rule* customer_ = nullptr;
    service_id service_;
    placement_request need_;
    time_point started_{};
    time_point deadline_{};
    boost::asio::steady_timer timer_;
    bool timed_out_ = false;

    token_count reserved_ = 0;
    bool from_credit_ = false;
    bool may_have_run_ = false;
    std::uint32_t sends_ = 0;
    std::set<server_id> tried_;
    std::optional<std::string> last_failure_;
    unsigned last_failure_status_ = 0;
    bool refused_by_engine_ = false;
    engine_connection_ptr connection_;
    server_id engine_;

    bool stream_started_ = false;
    std::uint64_t first_event_ = 0; ///< Last event that the client had.
    std::uint64_t last_event_ = 0;
    duration first_byte_{-1};
    bool answered_ = false;
    bool keep_ = true;
};

} // namespace rosemarydeck
