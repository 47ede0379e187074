/** @file exchange_base.hpp The handling of one client request. */
#pragma once

#include "gateway/client_stream_base.hpp"
#include "gateway/event_splitter_base.hpp"
#include "gateway/relay_header_type.hpp"
#include "gateway/traffic_context_type.hpp"
#include "platform/platform_header_func.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace rosemarydeck
{

using client_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/** What to do with the client's connection after a request. */
enum class connection_action
{
    keep,
    close,
};

/**
 * Handles one request of one client: finds the route, reserves budget, sends
 * the request to engines until one answers, relays the answer and settles the
 * reservation.
 */
class exchange
{
public:
    /** @param received_at Time of the request's first byte. The client's time
     *  limit counts from there, since a request may take long to arrive.
     *  @param relayed If set, another VM passed the request on. */
    exchange(traffic_context& context, client_stream& client,
             const client_request& request, time_point received_at,
             std::optional<relayed_request> relayed = std::nullopt);

    /** Suspends the calling fiber until the exchange has ended.
     *  @return What to do with the client's connection. */
    connection_action run();

private:
    /** Retry-After for no_configuration, engines_full and no_engine. By then a
     *  retry may find a restarted engine or reach another VM. */
    static constexpr auto retry_after_unavailable = milliseconds(300);

    using answer_parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    /** An answer in memory. */
    struct whole_answer
    {
        std::string head; ///< Status line and header, with the empty line.
        std::string body;
    };

    /** Result of one send to an engine. */
    struct send_result
    {
        send_outcome outcome = send_outcome::broken;
        bool answered = false; ///< The client has received a whole answer.
        /** The engine served the request to its end. An answer without a length
         *  may also end because the engine went down. */
        bool served_whole = false;
        bool ended_by_close = false; ///< The answer had no length or chunks.
        /** Answer that was not relayed to the client: one with a 5xx status,
         *  or an error after the client's stream had begun. */
        std::optional<whole_answer> failure_answer;
        unsigned failure_status = 0; ///< HTTP status of failure_answer.
        /** The answer was to an earlier request on the connection. */
        bool outdated = false;
    };

    // Admission. admit(), find_config(), find_rules(), take_place() and
    // reserve() send a refusal to the client before they return false.

    bool admit();
    /** Takes the configuration in force, if there is one that may be used. */
    bool find_config();
    /** Finds the route and the customer, in a newer configuration if need be;
     *  refuses the request if there are none. */
    bool find_rules();
    /** What the configuration in force says of a request. */
    enum class rule_match
    {
        found,      ///< It has a route, and a customer if that needs one.
        unreadable, ///< The part that says it can't be read.
        none,
    };
    rule_match match_rules();
    /** Makes sure that the configuration in force is the newest; may wait for
     *  the store. @return False if that can't be known. */
    bool confirm_config();
    /** Refuses a request that the configuration doesn't allow, and logs how
     *  current the configuration is. @return False. */
    bool deny(unsigned status, counter refusal_counter, const char* reason);
    /** Takes a place and the memory that each request needs. */
    bool take_place();
    /** Sets the deadline to the end of the route's or the client's time,
     *  whichever is first. */
    void set_deadline();
    void set_placement_request();
    /** @return True if this VM may stop before the request has ended. */
    [[nodiscard]] bool may_outlast_stop() const;
    /** Reserves the maximum charge if the request falls under a budget. */
    bool reserve();
    /** @return True if the rest of the budget is kept for requests that are
     *  smaller or more urgent than this one. */
    [[nodiscard]] bool is_budget_kept();
    /** Reserves tokens from the VM's credit, or else from its wallet. */
    bool try_reserve(token_count charge);
    /** @return Prepaid tokens that the fleet is not known to have consumed. */
    [[nodiscard]] token_count remaining_budget() const;
    /** @return When the headroom may suffice: this VM's own if the store is out
     *  of reach, and otherwise that of any VM. */
    [[nodiscard]] milliseconds retry_after_no_headroom() const;
    /** Requests more budget and waits until the charge can be reserved.
     *  @return False if that can't succeed or took too long. */
    bool wait_for_headroom();
    /** Requests budget until the charge can be reserved or the time is over.
     */
    bool poll_headroom(token_count charge, time_point wait_deadline);
    /** @return True if the client goes on with a stream that it has begun. */
    [[nodiscard]] bool is_taken_up() const;
    /** @return True if the request is on record as crashing engines. */
    bool is_blocked();
    /** Makes a blocked request the one with which this VM tries the block.
     *  @return False if no trial is due. */
    bool start_trial();
    /** @return True if an engine went down that had a request with one of the
     *  request's traits. */
    bool is_suspected();
    const std::vector<request_trait>& traits();
    /** Chooses among the route's services by weight, hashing the request id. */
    service_id choose_service() const;

    /** Finds where a stream began that the client takes up; refuses the request
     *  if that is unknown. */
    bool find_stream_origin();
    std::optional<stream_origin> look_up_origin();

    // Sends to engines.

    /** @param storage Holds the result if it is a part of @p engines.
     *  @return Engines at which the stream may begin or go on. */
    std::span<const engine_info>
    eligible_engines(const std::vector<engine_info>& engines,
                     std::vector<engine_info>& storage) const;
    /** Records where a stream began, before the client gets its first event. */
    void record_stream_begun(const placement& chosen);

    /** Has the request served by engines, or by another VM if this one reaches
     *  none. */
    void serve();
    /** Tries engines until one answers or no further send is allowed. */
    void try_engines();
    /** Takes a further send from the retry budget; the first one is free.
     *  @return False if the budget or the route allows no further send. */
    bool acquire_send();
    /** Sends the request to one engine. @return True if another engine may be
     *  tried. */
    bool try_engine(const placement& chosen);
    /** Reports a crash if the engine no longer accepts connections. */
    void report_if_crashed(const placement& chosen);
    /** @return True if other engines of the data centre can't be reached
     *  either, so that the engine has probably not crashed. */
    bool is_cut_off_from(const engine_info& engine);
    /** @param probe Why the engine's port could not be opened.
     *  @param broken_at When the send failed.
     *  @param cut_off This VM reaches no other engine there either. */
    void log_engine_down(const placement& chosen, const error& probe,
                         time_point broken_at, bool cut_off);
    /** @return True if the engine has been answering for so long that the
     *  request is not what crashes it. */
    [[nodiscard]] bool outlasted_start(time_point now) const;
    void log_failed_send(const placement& chosen,
                         const send_result& result) const;
    /** @return True unless the engine at the other end has started anew since
     *  its entry was written: its software may be another then. Asks it if the
     *  request needs a certain software. */
    bool is_listed_incarnation(const engine_info& engine);
    /** Reads the engine's report on engine_connection_. @return Its start in
     *  Unix ms, or 0 if it doesn't tell; none if no report came. */
    std::optional<std::int64_t> read_engine_start();
    /** Connects, or takes an idle connection, and sends the request. */
    send_result send(const placement& chosen);
    /** Sends the request on engine_connection_ and relays the answer. */
    send_result send_request(const placement& chosen);
    /** @return The head to send to an engine. The body follows as it is. */
    std::string encode_for_engine(const placement& chosen) const;
    /** Writes the request in the background: an engine may answer before it has
     *  read the whole request. */
    void write_request();
    send_result read_answer(answer_parser& parser, const placement& chosen);
    /** Reads the rest of an answer to an earlier request on the connection. */
    send_result skip_outdated_answer(answer_parser& parser);
    /** Records what an answer says of the engine's own state. */
    void record_engine_state(const placement& chosen, const answer_head& head);
    void record_engine_limit(const placement& chosen, const answer_head& head);
    /** Reads an answer that is no event stream; relays it unless its status is
     *  5xx or the client's stream has begun. */
    send_result relay_whole_answer(answer_parser& parser,
                                   const answer_head& head);
    /** Reads the rest of an answer into memory. @return False if it breaks off
     *  or finds no memory. */
    bool gather_body(answer_parser& parser);
    /** Charges what is kept of an answer, with the next read, and waits a
     *  little if there is no room. @return False if there is none. */
    bool charge_answer(const answer_parser& parser, std::size_t pending_bytes);
    /** @return True if the answer has the status with which the client's stream
     *  began, and no type of content that rules events out. */
    [[nodiscard]] bool continues_stream(const answer_parser& parser) const;
    /** Relays the events of a stream; each one must have the next id. */
    send_result relay_stream(answer_parser& parser, const answer_head& head,
                             const placement& chosen);
    /** Reads once from the engine. @return False if that failed. */
    bool read_some(answer_parser& parser);
    /** @return True if the end of the connection ended the answer, although the
     *  upload has failed or goes on: the answer is not known to be whole. */
    [[nodiscard]] bool ended_during_upload(const answer_parser& parser) const;
    bool relay_events(const std::string& bytes, const answer_parser& parser);
    bool send_stream_header(const answer_parser& parser);
    /** Keeps the engine connection for reuse, or resets it if it can't be
     *  reused. */
    void return_to_pool(const answer_parser& parser, const answer_head& head);

    // Requests that another VM serves for this one.

    /** Tells the control thread if the other VM has a newer configuration.
     *  @return True if it has; the request must not be served by this one. */
    [[nodiscard]] bool has_older_config() const;
    /** Sets what only VMs say in answers to VMs, and drops it otherwise. */
    void add_relay_fields(platform::header_fields& fields) const;
    [[nodiscard]] std::uint64_t config_version() const;
    /** @return True if the request must not leave some regions. */
    [[nodiscard]] bool is_region_bound() const;
    /** @return VMs that the request may be passed on to. */
    [[nodiscard]] std::vector<relay_peer> permitted_relays() const;
    /** @return True if this VM may reach an engine for the request. */
    [[nodiscard]] bool reaches_engines() const;
    /** @return True if another VM may serve the request. Each request is passed
     *  on once at most. */
    [[nodiscard]] bool may_relay() const;
    /** Passes the request on to other VMs until one reaches an engine. */
    void relay();
    /** Passes the request on to one VM, and its answer to the client. */
    relay_outcome relay_to(const relay_peer& peer);
    /** @param may_have_run_before Before the hop.
     *  @return What became of the hop, with the answer passed on if any. */
    relay_outcome read_relayed_answer(const relay_peer& peer,
                                      bool may_have_run_before);
    /** @return The head to send to another VM. */
    std::string encode_for_vm() const;
    /** Counts the events of another VM's answer, which this VM charges. */
    void count_passed_events(event_splitter& splitter, const std::string& body);
    /** Passes on another VM's answer. @return True if it is whole. */
    bool pass_on_answer(answer_parser& parser);
    /** Tries in the background whether an engine can be reached again. */
    void probe_engine();

    // Answers and the end of the exchange.

    /** Logs the outcome and, if the client has no answer, sends one. */
    void finish();
    /** @return Retry-After for a request that no engine took: when one of them
     *  ends its rest, if all rest. */
    [[nodiscard]] milliseconds retry_after_no_engine() const;
    /** Answers with an error made by this VM.
     *  @param reason Outcome in the log and error in the answer's body. */
    bool refuse(unsigned status, counter refusal_counter, const char* reason,
                std::optional<milliseconds> retry_after = std::nullopt);
    bool write_answer(unsigned status, platform::header_fields fields,
                      const std::string& body);
    /** Charges the tokens used and releases the rest of the reservation. */
    void settle();
    void log_end(const char* outcome, unsigned status);

    [[nodiscard]] duration time_left() const;
    [[nodiscard]] duration elapsed() const;
    /** @return True if the request is answered or timed out, the client is gone
     *  or less than min_send_time is left. */
    [[nodiscard]] bool is_finished() const;
    /** Resets the engine connection, which ends the send in progress. */
    void cancel_send();

    traffic_context& context_;
    client_stream& client_;
    const client_request& request_;
    request_head request_head_;
    std::shared_ptr<const fleet_view> view_;     ///< Updated after each send.
    std::shared_ptr<const config_index> config_; ///< As of the admission.
    const route_rule* route_ = nullptr;
    const customer_rule* customer_ = nullptr;
    service_id service_;
    placement_request placement_request_;
    std::vector<request_trait> traits_; ///< Empty until traits() is called.
    time_point started_{};
    time_point deadline_{};
    boost::asio::steady_timer timer_;
    bool timed_out_ = false;
    std::string send_fault_;    ///< Why the last send's answer can't be read.
    std::size_t request_bytes_; ///< Charged for the request itself.
    bool memory_short_ = false; ///< An engine's answer found no memory.

    token_count reserved_tokens_ = 0;
    bool reserved_from_credit_ = false;
    bool may_have_run_ = false; ///< An engine may have run the request.
    std::uint32_t send_count_ = 0;
    time_point sent_at_{}; ///< Start of the last send.
    /** When the head of the last send's answer arrived, if it did. */
    std::optional<time_point> answer_began_at_;
    std::set<server_id> tried_engines_;
    std::optional<whole_answer> last_failure_answer_;
    unsigned last_failure_status_ = 0;
    /** True if an engine refused the request or was another instance than
     *  expected. */
    bool refused_by_engine_ = false;
    engine_connection_ptr engine_connection_;
    /** No connection to the last engine that was tried could be opened. */
    bool last_unreachable_ = false;
    server_id last_engine_;          ///< Engine of the last send.
    software_version last_software_; ///< Software of that engine.

    /** Set if another VM passed the request on. */
    std::optional<relayed_request> relayed_;
    bool relay_answered_ = false; ///< Another VM gave the whole answer.
    bool hop_broke_ = false;      ///< Another VM broke off without an answer.
    unsigned relayed_status_ = 0; ///< HTTP status of another VM's answer.
    bool is_trial_ = false;       ///< Sent although it is blocked.
    bool stream_started_ = false;
    unsigned stream_status_ = 0; ///< HTTP status that the client received.
    std::string stream_content_type_;
    /** Id of the client attempt that began the stream; empty if the client
     *  takes a stream up and doesn't name it. */
    stream_id stream_;
    /** Where the stream began, once its first event was received. */
    std::optional<stream_origin> origin_;
    bool stream_recorded_ = false;
    /** Id of the last event that the client had before this request. */
    std::uint64_t initial_event_id_ = 0;
    std::uint64_t last_event_id_ = 0; ///< Id of the last event received.
    duration time_to_first_byte_{-1}; ///< Negative before the first byte.
    bool answered_ = false;  ///< The client has received a whole answer.
    bool keep_alive_ = true; ///< Keep the client's connection afterwards.
};

} // namespace rosemarydeck
