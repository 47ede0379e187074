/** @file owner_base.hpp Owner of customers' reservations in a data centre. */
#pragma once

#include "budget/account_cmd.hpp"
#include "budget/budget_pool_base.hpp"
#include "core/core_context_base.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarydeck
{

class bill_writer;
class witness;

/**
 * Holds this VM's grants, reserves tokens on them for the requests of the
 * data centre and keeps the state of each request key. The owner of a
 * customer is the live VM of the data centre that ranks first for it. The
 * holder of a grant or reservation is the VM that has the grant; when the live
 * set changes, a holder may stop being the customer's owner.
 *
 * Every change of a reservation is replicated to the customer's witness, the
 * VM next in rank, before it is confirmed to the VM that runs the request
 * (the runner). While no other VM is live in the data centre, only the part
 * of the grant that is marked for use without a witness (solo) is spent.
 *
 * An orphan is a reservation whose end was reported to this VM although it
 * is on the grant of another VM that was not live.
 */
class owner
{
public:
    owner(core_context& context, bill_writer& bills,
          const witness& local_witness);

    /** Handles a request for a reservation. */
    void on_reserve(const instance_id& from, const reserve_request& request);
    /** Handles the end of a request that holds a reservation. */
    void on_settle(const instance_id& from, const settle_request& request);
    /** Handles a witness's answer: records stored, or this VM is sealed. */
    void on_witness_ack(const instance_id& from, const witness_ack& ack);
    /** Records a running request on the grant of a holder that is not live. */
    void on_running_notice(const running_notice& notice);
    /** Handles a recall of tokens by another data centre. */
    void on_recall(const instance_id& from, const recall_request& request);
    /** Handles the answer to a recall that this VM sent. */
    void on_recall_reply(const recall_reply& reply);
    /** Replicates to the witnesses of the new live set. */
    void on_members_changed();
    /** Records the time at which a member stopped being live. */
    void on_member_down(const instance_id& instance);
    /** Sends a member that is live again the orphans on its grant. */
    void on_member_up(const instance_id& instance);
    /** Removes an orphan that the holder of its grant has settled. */
    void on_orphan_settled(const instance_id& from, const settle_reply& reply);
    /** Handles the platform's answer to a renewal's read or write. */
    void on_renewal_answer(const customer_id& customer,
                           const platform_result& result);
    /** Settles and resizes a grant. */
    void on_renew_timer(const customer_id& customer);
    /** Refuses reservations that have waited for the reserve time-out. */
    void on_waiting_timer(const customer_id& customer);
    /** Removes keys that ended longer ago than the keys' time to live. */
    void remove_expired();
    /**
     * Takes over a lost holder's records once its grant has ended.
     * @param lost The lost holder.
     * @param holder_records The holder's records of one customer.
     * @param open_tokens Tokens still reserved by running requests.
     * @param adopted_here Whether the adoption was written by this VM; if
     * not, another heir has the grant.
     */
    void adopt(const instance_id& lost, const customer_records& holder_records,
               token_count open_tokens, bool adopted_here);
    /** Sends each live member the billed keys that it may have billed too. */
    void send_digests();
    /** Finds keys that both this VM and another owner have billed. */
    void on_digest(const instance_id& from, const billed_digest& digest);
    /** Reverses the duplicate bills that the receiver of a digest found. */
    void on_digest_reply(const instance_id& from, const digest_reply& reply);
    /** Marks bills that the platform has stored. */
    void on_bills_stored(const std::vector<bill>& stored);
    /** Refuses waiting requests and starts to return unreserved tokens. */
    void begin_drain();
    /** @return True if sealed, or without grants and tokens to settle. */
    [[nodiscard]] bool drained() const;
    /** @return Records of keys whose reservation is on a holder's grant. */
    [[nodiscard]] std::vector<customer_records>
    records_for_holder(const instance_id& lost) const;
    /** @return True if a key is reserved or billed on a grant of this VM. */
    [[nodiscard]] bool owns(const customer_id& customer,
                            const idempotency_key& key) const;

    /** @return The customer's token counts, or null. */
    [[nodiscard]] const budget_pool* pool(const customer_id& customer) const;
    /** @return Number of customers with state at this VM. */
    [[nodiscard]] std::size_t customer_count() const
    {
        return customers_.size();
    }

private:
    enum class replication_state
    {
        in_flight,    ///< The newest record is on its way to the witness.
        acknowledged, ///< The witness has the newest record.
        no_witness,   ///< There was no witness to send it to.
    };
    struct owned_key
    {
        key_record record;
        instance_id holder; ///< VM whose grant the reservation is on.
        replication_state replication = replication_state::in_flight;
        bool runner_notified = false; ///< Runner knows the newest state.
        bool counted_in_pool = false; ///< End is counted in the pool.
        bool adopted = false;         ///< Finished, on an adopted grant.
        time_point ended;             ///< When the request ended.
    };
    struct waiting_reservation
    {
        instance_id from;
        reserve_request request;
        time_point since;
    };
    enum class renewal_step
    {
        idle,
        reading,
        writing,
    };
    struct owned_customer
    {
        budget_pool pool;
        std::unordered_map<idempotency_key, owned_key> keys;
        /** Requests for which the grant has too little headroom. */
        std::deque<waiting_reservation> waiting;
        /** Net charge of all finished keys, replicated or not. */
        token_count finished_net_total = 0;
        /** Reservations on this VM's grant that have not ended. */
        std::int64_t running_count = 0;
        /** Spending rate in tokens per second, exponentially smoothed. */
        double demand = 0;
        time_point demand_updated_at;
        /** Content of the token bucket that limits the request rate. */
        double rate_bucket = 0;
        time_point rate_bucket_updated_at;
        renewal_step step = renewal_step::idle;
        /** Tokens that the write in flight adds to the grant. */
        token_count granted_extra = 0;
        /** Part of the grant, after that write, that needs no witness. */
        token_count granted_solo = 0;
        /** The account as last read or written; empty if out of date. */
        std::optional<account> account_value;
        object_version account_version = 0;
        unsigned failures = 0; ///< Renewals failed since the last success.
        bool renewal_timer_set = false;
        /** The last confirmed renewal said that there is no witness. */
        bool no_witness_confirmed = false;
        /** The renewal in flight says that there is no witness. */
        bool no_witness_pending = false;
        bool waiting_timer_set = false;
        /** Until then, reservations that would wait are refused. */
        time_point exhausted_until;
        /** Earliest time of the next recall to other data centres. */
        time_point next_recall_at;
        std::size_t open_recalls = 0;     ///< Recalls without an answer.
        token_count tokens_to_return = 0; ///< Tokens asked by a recall.
        instance_id recalled_by; ///< Owner that sent that recall, or empty.
    };
    struct logged_key
    {
        billed_key billed;
        bool adopted = false; ///< Billed by a holder that was adopted.
    };
    struct sent_records
    {
        customer_id customer;
        std::vector<idempotency_key> keys;
    };
    /** Records sent to one witness. */
    struct witness_link
    {
        std::uint64_t last_number = 0;
        /** Records that are not acknowledged, by message number. */
        std::map<std::uint64_t, sent_records> sent;
    };

    owned_customer& customer_state(const customer_id& customer);
    /** @return True if the state of the key has decided the request. */
    bool answer_if_known(owned_customer& state, const instance_id& from,
                         const reserve_request& request);
    /** @return True if this VM's records as a witness gave the answer. */
    bool answer_from_witness_records(const instance_id& from,
                                     const reserve_request& request);
    /** Gives a lost runner's reservation to the VM that retries. */
    void reassign_runner(owned_customer& state, owned_key& entry,
                         const instance_id& from,
                         const reserve_request& request);
    /** @return True if concurrency and rate allow one more request. */
    bool admit_by_allowance(owned_customer& state,
                            const reserve_request& request);
    bool try_reserve(owned_customer& state, const instance_id& from,
                     const reserve_request& request);
    void enqueue_waiting(owned_customer& state, const instance_id& from,
                         const reserve_request& request);
    void serve_waiting(owned_customer& state);
    void refuse_waiting(owned_customer& state, reserve_outcome outcome);
    /** Ends a reservation on this VM's grant. */
    void settle_reservation(const customer_id& customer, owned_customer& state,
                            owned_key& entry, const key_record& ended);
    /** Counts an ended reservation in the pool and queues its bill, once. */
    void record_settlement(owned_customer& state, owned_key& entry);
    void settle_orphan(const instance_id& from, owned_customer& state,
                       const settle_request& request);
    /** Sends keys to the witness; without one, confirms them at once. */
    void replicate(const customer_id& customer, owned_customer& state,
                   const std::vector<idempotency_key>& keys);
    /** Replicates all keys of this VM's grant and all adopted keys. */
    void resync(const customer_id& customer, owned_customer& state);
    /** @return True if the record has to be replicated. */
    bool adopt_record(const instance_id& lost, const customer_id& customer,
                      owned_customer& state, const key_record& record);
    void add_missing_bills(const key_record& record);
    /** Records a lost holder's finished key; another heir has the grant. */
    void record_finished_key(const instance_id& lost, owned_customer& state,
                             const key_record& record);
    void reverse(const customer_id& customer, const idempotency_key& key);
    static const owned_key* find_key(const owned_customer& state,
                                     const idempotency_key& key);
    /** Makes send_digests() repeat what was billed without a peer. */
    void rewind_digest_cursors(const instance_id& peer);
    /** Sends another owner's billed key to the VM here that billed it. */
    void forward_billed_key(const instance_id& origin,
                            const billed_key& theirs);
    [[nodiscard]] bool is_charged(const owned_key& entry) const;
    /** @return True if a member may have billed the same key. */
    [[nodiscard]] bool may_have_billed(const member_info& member,
                                       const logged_key& entry) const;
    /** Tells the runner that its reservation or its end is recorded. */
    void notify_runner(const customer_id& customer, owned_customer& state,
                       owned_key& entry);
    void reply(const instance_id& to, const reserve_request& request,
               reserve_outcome outcome, const instance_id& runner = {});
    void record_demand(owned_customer& state, token_count spent);
    /** @return True if the amount may be spent without a witness. */
    [[nodiscard]] bool fits_solo_limit(const owned_customer& state,
                                       token_count amount) const;

    void schedule_renewal(const customer_id& customer, owned_customer& state,
                          duration after);
    void start_renewal(const customer_id& customer, owned_customer& state);
    void write_renewal(const customer_id& customer, owned_customer& state);
    void read_account(const customer_id& customer, owned_customer& state);
    void on_account_read(const customer_id& customer, owned_customer& state,
                         const platform_result& result);
    void on_account_written(const customer_id& customer, owned_customer& state,
                            const platform_result& result);
    void finish_renewal(const customer_id& customer, owned_customer& state,
                        token_count granted_extra, token_count granted_solo);
    void after_renewal(const customer_id& customer, owned_customer& state);
    /** @return True if a recall was sent to another data centre. */
    bool send_recalls(const customer_id& customer, owned_customer& state);
    void report_stale_grants(const customer_id& customer, const account& value);
    [[nodiscard]] token_count waiting_tokens(const owned_customer& state) const;
    /** @return Tokens to ask for; negative to return some. */
    [[nodiscard]] token_count
    extra_to_request(const customer_id& customer,
                     const owned_customer& state) const;
    [[nodiscard]] grant_renewal
    make_grant_renewal(const customer_id& customer,
                       const owned_customer& state) const;

    core_context& context_;
    bill_writer& bill_writer_;
    const witness& witness_;
    std::unordered_map<customer_id, owned_customer> customers_;
    /** Keys billed by this VM or adopted, in the order of recording. */
    std::deque<logged_key> billed_log_;
    /** Number of the first key in billed_log_; grows as keys expire. */
    std::uint64_t billed_log_start_ = 0;
    /** Number of the next billed key to compare with each member. */
    std::map<instance_id, std::uint64_t> digest_cursors_;
    std::map<instance_id, time_point> up_since_;
    std::map<instance_id, time_point> down_since_;
    std::map<instance_id, witness_link> witness_links_;
    /** Holders of the orphans that are not settled, by customer and key. */
    std::map<customer_id, std::map<idempotency_key, instance_id>> orphans_;
};

} // namespace rosemarydeck
