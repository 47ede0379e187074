/** @file dispatcher_base.hpp Dispatch of the requests of this VM's callers. */
#pragma once

#include "core/claim_base.hpp"
#include "core/core_context_base.hpp"
#include "request/charge_func.hpp"
#include "schedule/fair_queue_base.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace rosemarydeck
{

/**
 * Takes each caller's request through its steps: the customer's owner reserves
 * tokens for it; one that may run only once is claimed; it waits in the queue
 * of its target; it runs on a backend server, in several attempts if need be;
 * its end is settled with the holder of the reservation.
 *
 * A retry with the key of another request joins that request, at this VM or at
 * the VM that runs it.
 */
class dispatcher
{
public:
    explicit dispatcher(core_context& context);

    /** Handles a caller's request. */
    void on_request(const caller_request& request);
    /** Ends a request whose caller left, if it neither ran nor was joined. */
    void on_caller_disconnected(request_id id);
    /** Issues a key for a request that may run only once. */
    void on_key_requested(const key_requested& request);
    /** Forgets a finished request whose answer is no longer kept. */
    void on_answer_dropped(request_id id);
    /** Handles the owner's answer to a reserve_request. */
    void on_reserve_reply(const reserve_reply& reply);
    /** Handles the platform's answer to the call of a claim. */
    void on_claim_answer(request_id id, const platform_result& result);
    /** Reads a claim again after a failed call. */
    void on_claim_timer(request_id id);
    /** Records the time of the first token. */
    void on_first_token(const attempt_first_token& event);
    /** Bills a request whose attempt was successful. */
    void on_attempt_finished(const attempt_finished& event);
    /** Retries a request whose attempt failed, or ends it. */
    void on_attempt_failed(const attempt_failed& event);
    /** Finishes a request whose end the holder has recorded. */
    void on_settle_reply(const settle_reply& reply);
    /** Resends a request's unanswered message, or ends it when it is late. */
    void on_timer(request_id id);
    /** Tells the owners which requests run on grants of VMs not live. */
    void on_members_changed();
    /** Dispatches queued requests to servers with free slots. */
    void dispatch_all_queued();
    /** Removes finished requests older than the keys' time to live. */
    void remove_expired();

    /** @return Number of requests that have not ended. */
    [[nodiscard]] std::size_t open_count() const
    {
        return open_requests_.size();
    }
    /** @return Open requests whose reservation is on an instance's grant. */
    [[nodiscard]] std::vector<customer_records>
    records_for_holder(const instance_id& holder) const;

private:
    enum class request_step
    {
        reserving, ///< Waits for the owner's answer.
        claiming,  ///< Waits for the claim.
        queued,    ///< Waits for a backend server.
        running,   ///< Runs on a backend server.
        settling,  ///< Waits until the holder has recorded the end.
    };
    struct open_request
    {
        caller_request request;
        customer_id customer;
        token_count amount = 0;  ///< Tokens reserved.
        std::int64_t weight = 1; ///< The customer's weight in the queue.
        latency_target latency;
        request_step step = request_step::reserving;
        time_point arrived_at;
        time_point dispatched_at;
        std::optional<time_point> first_token_at;
        std::uint32_t attempt = 0; ///< Number of the last attempt, from 1.
        server_id server;          ///< Server of the last attempt.
        /** Servers of failed attempts; they get no further attempt. */
        std::vector<server_id> excluded_servers;
        token_count delivered_tokens = 0; ///< Tokens that the caller has.
        instance_id holder;           ///< VM whose grant the reservation is on.
        bool claimed = false;         ///< This VM has the claim to run it.
        bool unbilled = false;        ///< Repeats a request that was billed.
        bool key_from_caller = false; ///< Not a generated key.
        std::size_t joined_count = 0; ///< Retries that wait for its answer.
        key_record final_record;      ///< Record of the end, while settling.
    };
    struct finished_request
    {
        request_id id;
        std::uint64_t fingerprint = 0;
        time_point finished_at;
    };
    struct target_state
    {
        fair_queue queue;
        /** Token rate of one slot, exponentially smoothed; 0 if unknown. */
        double tokens_per_second = 0;
    };

    /** @return Why the request can't be accepted, if it can't. */
    [[nodiscard]] std::optional<refusal_reason>
    check_request(const caller_request& request, const customer_id* customer,
                  token_count amount) const;
    /**
     * Joins a request to the one of this VM that has the same key, or refuses
     * it if their fingerprints differ.
     * @return True if this VM has a request with the key.
     */
    bool answer_for_known_key(const customer_key& key,
                              const caller_request& request);
    /**
     * Relays or refuses a request whose key another VM has issued.
     * @return True if the key was issued by another VM.
     */
    bool answer_for_issued_key(const customer_key& key,
                               const caller_request& request);
    /** @return Tokens that a request can cost at most. */
    [[nodiscard]] token_count
    reservation_amount(const caller_request& request) const;
    /** @return Expected time in the queue at the target's token rate. */
    [[nodiscard]] duration predicted_wait(const open_request& open);
    /** Refuses a request that is not among the open ones. */
    void refuse(request_id id, refusal_reason reason,
                ran_state ran = ran_state::no, std::int64_t retry_after_ms = 0);
    /** Refuses an open request and removes it. */
    void refuse_open(request_id id, refusal_reason reason, ran_state ran,
                     std::int64_t retry_after_ms = 0);
    /** Relays a request to another VM; refuses one that was relayed. */
    void relay(const caller_request& request, const instance_id& to);
    void reserve(open_request& open);
    void on_claim(const claim_result& result);
    void claim_or_enqueue(open_request& open);
    void enqueue(open_request& open);
    /** Dispatches queued requests of a target while servers have slots. */
    void dispatch_queued(const target_id& target);
    void dispatch(open_request& open, const server_id& server);
    void end_attempt(open_request& open);
    /** Starts to report the end of a request to the reservation's holder. */
    void settle(open_request& open, key_state state);
    void send_settlement(open_request& open);
    /** Ends the reservation without a bill. */
    void release_reservation(open_request& open);
    /** Sends the end of the answer and removes the open request. */
    void finish(open_request& open);
    void erase(request_id id);
    /** Refuses a request that waited too long or whose last attempt failed. */
    void refuse_failed(open_request& open, ran_state ran);
    [[nodiscard]] bool may_retry(const open_request& open,
                                 const attempt_failed& event) const;
    [[nodiscard]] key_record make_key_record(const open_request& open) const;
    open_request* find(request_id id);
    target_state& state_of(const target_id& target);

    core_context& context_;
    claim_registry claims_;
    std::unordered_map<request_id, open_request> open_requests_;
    /** Open requests of this VM by key. */
    std::map<customer_key, request_id> open_requests_by_key_;
    /** Finished requests whose answers are kept, by key. */
    std::map<customer_key, finished_request> finished_requests_;
    std::unordered_map<request_id, customer_key> finished_keys_by_id_;
    std::map<target_id, target_state> targets_;
    std::uint64_t last_generated_key_ = 0;
    std::uint64_t last_fence_ = 0;
};

} // namespace rosemarydeck
