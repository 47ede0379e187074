/** @file dispatcher_base.hpp The requests of this VM's callers. */
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
 * Takes callers' requests through reservation, claim, queue, attempts and
 * settlement, and answers a retry from the request that it repeats.
 */
class dispatcher
{
public:
    explicit dispatcher(core_context& context);

    /** A caller's request has come in. */
    void on_request(const caller_request& request);
    /** The caller has hung up. */
    void on_gone(request_id id);
    /** A caller asks for an order key. */
    void on_key_requested(const key_requested& request);
    /** A kept answer was dropped. */
    void on_answer_dropped(request_id id);
    /** The customer's owner has answered. */
    void on_reserve_reply(const reserve_reply& reply);
    /** A claim's platform call is answered. */
    void on_claim_answer(request_id id, const platform_result& result);
    /** Time to ask for a claim again. */
    void on_claim_timer(request_id id);
    /** An attempt's first token has come. */
    void on_first_token(const attempt_first_token& event);
    /** An attempt ended well. */
    void on_finished(const attempt_finished& event);
    /** An attempt failed. */
    void on_failed(const attempt_failed& event);
    /** Two VMs know the bill. */
    void on_settle_reply(const settle_reply& reply);
    /** Time to resend, or to give up. */
    void on_timer(request_id id);
    /** The live set has changed. */
    void on_members_changed();
    /** Servers may have room. */
    void pump_all();
    /** Forgets finished requests whose window is over. */
    void remove_expired();

    /** @return Requests that are not finished. */
    [[nodiscard]] std::size_t open_count() const { return open_.size(); }
    /** @return Open requests whose reservation is on an instance's grant. */
    [[nodiscard]] std::vector<customer_records>
    records_for_holder(const instance_id& holder) const;

private:
    enum class request_step
    {
        reserving,
        claiming,
        queued,
        running,
        settling,
    };
    struct open_request
    {
        caller_request request;
        customer_id customer;
        token_count amount = 0;
        std::int64_t weight = 1;
        latency_target target;
        request_step step = request_step::reserving;
        time_point arrived;
        time_point dispatched;
        std::optional<time_point> first_token;
        std::uint32_t attempt = 0;
        server_id server;
        std::vector<server_id> excluded;
        token_count delivered = 0;
        instance_id holder;
        bool claimed = false;
        bool unbilled = false; ///< A rerun of a billed request.
        bool key_given = false;
        std::size_t joined = 0;
        key_record ended; ///< Valid while settling.
    };
    struct finished_request
    {
        request_id id;
        std::uint64_t fingerprint = 0;
        time_point at;
    };
    struct target_state
    {
        fair_queue queue;
        double tokens_per_second = 0; ///< Of one slot, smoothed.
    };

    [[nodiscard]] std::optional<refusal_reason>
    check(const caller_request& request, const customer_id* customer,
          token_count amount) const;
    bool answer_from_own(const customer_key& key,
                         const caller_request& request);
    bool answer_by_issuer(const customer_key& key,
                          const caller_request& request);
    [[nodiscard]] token_count amount_of(const caller_request& request) const;
    [[nodiscard]] duration predicted_wait(const open_request& open);
    void refuse(request_id id, refusal_reason reason,
                ran_state ran = ran_state::no, std::int64_t retry_after_ms = 0);
    void drop(request_id id, refusal_reason reason, ran_state ran,
              std::int64_t retry_after_ms = 0);
    void relay(const caller_request& request, const instance_id& to);
    void reserve(open_request& open);
    void on_claim(const claim_result& result);
    void claim_or_queue(open_request& open);
    void enqueue(open_request& open);
    void pump(const target_id& target);
    void dispatch(open_request& open, const server_id& server);
    void end_attempt(open_request& open);
    void settle(open_request& open, key_state state);
    void send_settlement(open_request& open);
    void release(open_request& open);
    void finish(open_request& open);
    void erase(request_id id);
    void abandon(open_request& open, ran_state ran);
    [[nodiscard]] bool may_retry(const open_request& open,
                                 const attempt_failed& event) const;
    [[nodiscard]] key_record record_of(const open_request& open) const;
    open_request* find(request_id id);
    target_state& state_of(const target_id& target);

    core_context& context_;
    claim_registry claims_;
    std::unordered_map<request_id, open_request> open_;
    std::map<customer_key, request_id> running_keys_;
    std::map<customer_key, finished_request> finished_;
    std::unordered_map<request_id, customer_key> finished_ids_;
    std::map<target_id, target_state> targets_;
    std::uint64_t next_key_ = 0;
    std::uint64_t fence_ = 0;
};

} // namespace rosemarydeck
