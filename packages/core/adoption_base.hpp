/** @file adoption_base.hpp Adoption of the grants of lost VMs. */
#pragma once

#include "core/dispatcher_base.hpp"
#include "core/owner_base.hpp"
#include "core/witness_base.hpp"

#include <map>
#include <optional>
#include <set>

namespace rosemarydeck
{

/**
 * Ends the grants of VMs of this data centre that are lost.
 *
 * When a VM is lost, every other VM of its data centre seals it: each of them
 * accepts no more records from it and sends those that it has to the heirs. The
 * heir of a customer is the VM that owns the customer in the current live
 * set. Once an heir has the seals of all VMs that may have been a witness, it
 * knows what the lost VM has spent. It then adopts the grant: one conditional
 * write to the customer's account settles what was spent, moves what is still
 * reserved to the heir's own grant and frees the rest.
 */
class adoption_manager
{
public:
    adoption_manager(core_context& context, owner& local_owner,
                     witness& local_witness, dispatcher& local_dispatcher);

    /** Seals a VM of this data centre that is gone. */
    void on_vm_gone(const instance_id& lost);
    /** Merges a peer's records of a lost VM. */
    void on_seal_notice(const instance_id& from, const seal_notice& notice);
    /** Sends the seals again, as the heirs may have changed. */
    void on_members_changed();
    /** Starts the adoption of a grant if its holder has certainly ended. */
    void on_stale_grant(const stale_grant& grant);
    /** Handles the platform's answer to a call of an adoption. */
    void on_answer(const adoption_purpose& purpose,
                   const platform_result& result);
    /** Repeats a call that failed. */
    void on_timer(const adoption_timer& timer);
    /** Removes adoptions that are older than the keys' time to live. */
    void remove_expired();
    /** @return Number of adoptions that are not finished. */
    [[nodiscard]] std::size_t unfinished() const;

private:
    /** Adoption of one customer's grant. */
    struct adoption_task
    {
        customer_records holder_records; ///< Reported by the lost holder.
        std::vector<key_record> runner_records; ///< Reported by runners.
        bool done = false;
        bool started = false;
        bool write_sent = false;
        unsigned failures = 0;
        /** Tokens reserved by requests that may still run. */
        token_count open_tokens = 0;
        std::optional<account> before;
    };
    /** Content of a peer's seal_notice, without the records. */
    struct received_seal
    {
        std::uint64_t live_set_hash = 0; ///< Of the live set at the sender.
        bool synced = false;  ///< The lost VM had sent it witness_synced.
        bool overlap = false; ///< The sender had another unfinished adoption.
    };
    struct lost_vm
    {
        time_point sealed_at;
        /** Whether another adoption was unfinished at sealed_at. */
        bool overlap = false;
        std::map<instance_id, received_seal> seals;
        std::map<customer_id, adoption_task> tasks;
        bool listing_bills = false;
        unsigned listing_failures = 0;
        /** Keys whose bill the lost VM had stored; empty until listed. */
        std::optional<std::set<customer_key>> stored_bills;
        /** Keys whose reversal the lost VM had stored; empty until listed. */
        std::optional<std::set<customer_key>> stored_reversals;
        /** Net charge of its stored bills on its own grants. */
        std::map<customer_id, token_count> billed_tokens;
    };

    /** Adds a lost VM and seals it, unless it is there already. */
    lost_vm& add_lost_vm(const instance_id& lost);
    void send_seals(const instance_id& lost);
    /** @return All records of a lost VM's grants at this VM. */
    [[nodiscard]] std::vector<customer_records>
    local_records(const instance_id& lost) const;
    /** @return Hash of the data centre's live set, which decides the heirs. */
    [[nodiscard]] std::uint64_t live_set_hash() const;
    void merge_records(lost_vm& vm, const customer_records& entry);
    void record_stored_bill(const instance_id& lost, lost_vm& vm,
                            const bill& stored);
    /**
     * Combines the records of the holder and the runners, and releases the
     * reservations that no request uses any more.
     * @return All tokens that the lost VM has spent for the customer.
     */
    token_count resolve_records(const customer_id& customer, const lost_vm& vm,
                                adoption_task& task);
    /** @return True if the records prove all that the lost VM has spent. */
    [[nodiscard]] bool is_exact(const lost_vm& vm) const;
    /** @return True if all possible witnesses sealed it in this live set. */
    [[nodiscard]] bool has_all_seals(const lost_vm& vm) const;
    void start_tasks(const instance_id& lost, lost_vm& vm);
    void list_bills(const instance_id& lost);
    void on_bills_listed(const instance_id& lost, lost_vm& vm,
                         const platform_result& result);
    void read_account(const instance_id& lost, const customer_id& customer);
    void write_account(const instance_id& lost, const customer_id& customer,
                       lost_vm& vm, adoption_task& task,
                       const platform_object& object);
    void finish(const instance_id& lost, lost_vm& vm, adoption_task& task,
                bool adopted_here);
    void schedule_retry(const instance_id& lost, const customer_id& customer,
                        adoption_task& task);
    /** @return True if this VM is the heir of an unfinished adoption. */
    [[nodiscard]] bool has_own_task(const lost_vm& vm) const;
    /** @return True if a holder can't write any more. */
    [[nodiscard]] bool is_ended(const instance_id& holder) const;

    core_context& context_;
    owner& owner_;
    witness& witness_;
    dispatcher& dispatcher_;
    std::map<instance_id, lost_vm> lost_vms_;
};

} // namespace rosemarydeck
