/** @file owner_base.hpp The owner of customers in one data centre. */
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
 * Holds this VM's grants, reserves tokens on them for the data centre's
 * requests and knows each request key. Every reservation is known to a
 * witness before it counts, unless no other VM is live here; then only the
 * solo part of the grant may be spent.
 */
class owner
{
public:
    owner(core_context& context, bill_writer& bills, const witness& kept);

    /** A request wants a reservation. */
    void on_reserve(const instance_id& from, const reserve_request& request);
    /** A request has ended. */
    void on_settle(const instance_id& from, const settle_request& request);
    /** A witness has the records up to a number, or has sealed this VM. */
    void on_witness_ack(const instance_id& from, const witness_ack& ack);
    /** A request of an earlier owner still runs. */
    void on_running_notice(const running_notice& notice);
    /** Another data centre needs tokens. */
    void on_recall(const instance_id& from, const recall_request& request);
    /** Tokens came back. */
    void on_recall_reply(const recall_reply& reply);
    /** The live set has changed: chooses witnesses anew. */
    void on_members_changed();
    /** A member is no longer live. */
    void on_member_down(const instance_id& instance);
    /** A member is connected: hands it what was settled in its absence. */
    void on_member_up(const instance_id& instance);
    /** The settlement of an orphan has been taken by its holder. */
    void on_orphan_settled(const instance_id& from, const settle_reply& reply);
    /** A renewal's platform call is answered. */
    void on_renewal_answer(const customer_id& customer,
                           const platform_result& result);
    /** Time to settle and resize a grant. */
    void on_renew_timer(const customer_id& customer);
    /** Time to refuse what has waited too long. */
    void on_waiting_timer(const customer_id& customer);
    /** Forgets finished keys whose window is over. */
    void remove_expired();
    /** Takes over a lost holder's records once its grant is adopted. */
    void adopt(const instance_id& lost, const customer_records& found,
               token_count open, bool won);
    /** Tells owners elsewhere which keys were billed here. */
    void send_digests();
    /** Another owner's billed keys: finds those billed here too. */
    void on_digest(const instance_id& from, const billed_digest& digest);
    /** Another owner has compared; its duplicates are reversed here. */
    void on_digest_reply(const instance_id& from, const digest_reply& reply);
    /** Bills that the platform has stored. */
    void on_bills_stored(const std::vector<bill>& stored);
    /** Gives every grant back as far as it is free. */
    void begin_drain();
    /** @return True if no grant is held any more. */
    [[nodiscard]] bool drained() const;
    /** @return Records of orphans and notices on a lost holder's grant. */
    [[nodiscard]] std::vector<customer_records>
    records_for_holder(const instance_id& lost) const;
    /** @return True if a key is reserved or billed on a grant of this VM. */
    [[nodiscard]] bool owns(const customer_id& customer,
                            const idempotency_key& key) const;

    /** @return The customer's pool, or null. */
    [[nodiscard]] const budget_pool* pool(const customer_id& customer) const;
    /** @return Customers with state here. */
    [[nodiscard]] std::size_t customer_count() const
    {
        return customers_.size();
    }

private:
    enum class witness_state
    {
        waiting, ///< A record is on its way to the witness.
        held,    ///< The witness has the newest record.
        solo,    ///< Nobody else has it.
    };
    struct owned_key
    {
        key_record record;
        instance_id holder; ///< Whose grant it is on.
        witness_state witness = witness_state::waiting;
        bool answered = false; ///< The runner knows of the newest state.
        bool booked = false;   ///< The end is counted in the pool.
        bool adopted = false;  ///< Billed by a lost holder.
        time_point ended;
    };
    struct waiting_reserve
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
        std::deque<waiting_reserve> waiting;
        /** Net of all finished keys, also those not yet at the witness. */
        token_count promised_total = 0;
        std::int64_t running = 0;
        double demand = 0; ///< Tokens a second, smoothed.
        time_point demand_at;
        double rate_tokens = 0; ///< Of the request rate's bucket.
        time_point rate_at;
        renewal_step step = renewal_step::idle;
        token_count got = 0;                  ///< Of the write in flight.
        token_count solo = 0;                 ///< Of the write in flight.
        std::optional<account> account_value; ///< As last seen.
        object_version account_version = 0;
        unsigned failures = 0;
        bool timer_set = false;
        bool marked_alone = false;  ///< By the last confirmed renewal.
        bool marking_alone = false; ///< By the renewal in flight.
        bool waiting_timer_set = false;
        time_point exhausted_until;
        time_point recalled_until;
        std::size_t recalls_open = 0;
        token_count give_back = 0;
        instance_id recall_from;
    };
    struct logged_key
    {
        billed_key billed;
        bool adopted = false;
    };
    struct sent_records
    {
        customer_id customer;
        std::vector<idempotency_key> keys;
    };
    struct witness_link
    {
        std::uint64_t last_number = 0;
        std::map<std::uint64_t, sent_records> sent;
    };

    owned_customer& customer_of(const customer_id& customer);
    bool answer_known(owned_customer& state, const instance_id& from,
                      const reserve_request& request);
    bool answer_from_witness(const instance_id& from,
                             const reserve_request& request);
    void take_over(owned_customer& state, owned_key& entry,
                   const instance_id& from, const reserve_request& request);
    bool within_limits(owned_customer& state, const reserve_request& request);
    bool try_reserve(owned_customer& state, const instance_id& from,
                     const reserve_request& request);
    void wait(owned_customer& state, const instance_id& from,
              const reserve_request& request);
    void serve_waiting(owned_customer& state);
    void refuse_waiting(owned_customer& state, reserve_outcome outcome);
    void settle_own(const customer_id& customer, owned_customer& state,
                    owned_key& entry, const key_record& ended);
    void book(owned_customer& state, owned_key& entry);
    void settle_orphan(const instance_id& from, owned_customer& state,
                       const settle_request& request);
    void replicate(const customer_id& customer, owned_customer& state,
                   const std::vector<idempotency_key>& keys);
    void resync(const customer_id& customer, owned_customer& state);
    bool adopt_record(const instance_id& lost, const customer_id& customer,
                      owned_customer& state, const key_record& record);
    void add_missing_bills(const key_record& record);
    void note_record(const instance_id& lost, owned_customer& state,
                     const key_record& record);
    void reverse(const customer_id& customer, const idempotency_key& key);
    static const owned_key* find_key(const owned_customer& state,
                                     const idempotency_key& key);
    void share_again(const instance_id& mate);
    void pass_on(const instance_id& origin, const billed_key& theirs);
    [[nodiscard]] bool is_charged(const owned_key& entry) const;
    [[nodiscard]] bool may_share(const member_info& member,
                                 const logged_key& entry) const;
    void answer(const customer_id& customer, owned_customer& state,
                owned_key& entry);
    void reply(const instance_id& to, const reserve_request& request,
               reserve_outcome outcome, const instance_id& runner = {});
    void count_demand(owned_customer& state, token_count spent);
    [[nodiscard]] bool solo_allows(const owned_customer& state,
                                   token_count amount) const;

    void want_renewal(const customer_id& customer, owned_customer& state,
                      duration after);
    void start_renewal(const customer_id& customer, owned_customer& state);
    void write_renewal(const customer_id& customer, owned_customer& state);
    void read_account(const customer_id& customer, owned_customer& state);
    void on_account_read(const customer_id& customer, owned_customer& state,
                         const platform_result& result);
    void on_account_written(const customer_id& customer, owned_customer& state,
                            const platform_result& result);
    void finish_renewal(const customer_id& customer, owned_customer& state,
                        token_count got, token_count solo);
    void after_renewal(const customer_id& customer, owned_customer& state);
    bool ask_others(const customer_id& customer, owned_customer& state);
    void report_stale(const customer_id& customer, const account& value);
    [[nodiscard]] token_count waiting_tokens(const owned_customer& state) const;
    [[nodiscard]] token_count wanted_extra(const customer_id& customer,
                                           const owned_customer& state) const;
    [[nodiscard]] grant_renewal wish_of(const customer_id& customer,
                                        const owned_customer& state) const;

    core_context& context_;
    bill_writer& bills_;
    const witness& kept_;
    std::unordered_map<customer_id, owned_customer> customers_;
    /** Keys billed here, oldest first; the first has number log_start_. */
    std::deque<logged_key> billed_log_;
    std::uint64_t log_start_ = 0;
    std::map<instance_id, std::uint64_t> digest_cursors_;
    std::map<instance_id, time_point> up_since_;
    std::map<instance_id, time_point> down_since_;
    std::map<instance_id, witness_link> witnesses_;
    std::map<customer_id, std::map<idempotency_key, instance_id>> orphans_;
};

} // namespace rosemarydeck
