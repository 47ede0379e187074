/** @file adoption_base.hpp Ends the grants of VMs that are lost. */
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
 * When a VM is gone, every VM of its data centre seals it and sends what it
 * knows to the heirs, the owners of the lost VM's customers. An heir that
 * has the seals of all VMs that may have been witness knows what was spent,
 * and frees the rest with one conditional write.
 */
class adoption_manager
{
public:
    adoption_manager(core_context& context, owner& own, witness& kept,
                     dispatcher& requests);

    /** A VM of this data centre is gone. */
    void on_gone(const instance_id& lost);
    /** A peer's seal of a lost VM. */
    void on_seal_notice(const instance_id& from, const seal_notice& notice);
    /** The live set has changed: heirs may be others now. */
    void on_members_changed();
    /** An account holds a grant whose holder is not live. */
    void on_stale_grant(const stale_grant& grant);
    /** An adoption's platform call is answered. */
    void on_answer(const adoption_purpose& purpose,
                   const platform_result& result);
    /** Time to try again. */
    void on_timer(const adoption_timer& timer);
    /** Forgets adoptions whose keys are forgotten too. */
    void remove_expired();
    /** @return Adoptions that are not finished. */
    [[nodiscard]] std::size_t unfinished() const;

private:
    struct heir_task
    {
        customer_records found;             ///< What the holder told.
        std::vector<key_record> by_runners; ///< What the runners told.
        bool done = false;
        bool started = false;
        bool wrote = false;
        unsigned failures = 0;
        token_count open = 0;
        std::optional<account> before;
    };
    struct seal_mark
    {
        std::uint64_t view = 0;
        bool synced = false;
        bool overlap = false;
    };
    struct lost_vm
    {
        time_point since;
        bool overlap = false; ///< As this VM saw it when it sealed.
        std::map<instance_id, seal_mark> seals;
        std::map<customer_id, heir_task> tasks;
        bool listing = false;
        unsigned list_failures = 0;
        /** Bills that the lost VM had stored itself, once listed. */
        std::optional<std::set<customer_key>> stored;
        std::optional<std::set<customer_key>> reversed;
        /** What those bills took from the lost VM's grants. */
        std::map<customer_id, token_count> billed;
    };

    lost_vm& begin(const instance_id& lost);
    void send_seals(const instance_id& lost);
    [[nodiscard]] std::vector<customer_records>
    all_records(const instance_id& lost) const;
    [[nodiscard]] std::uint64_t view() const;
    void merge(lost_vm& vm, const customer_records& entry);
    void take_stored_bill(const instance_id& lost, lost_vm& vm,
                          const bill& stored);
    token_count weigh_records(const customer_id& customer, const lost_vm& vm,
                              heir_task& task);
    [[nodiscard]] bool exact(const lost_vm& vm) const;
    [[nodiscard]] bool complete(const lost_vm& vm) const;
    void start_tasks(const instance_id& lost, lost_vm& vm);
    void list_bills(const instance_id& lost);
    void on_bills_listed(const instance_id& lost, lost_vm& vm,
                         const platform_result& result);
    void read(const instance_id& lost, const customer_id& customer);
    void write(const instance_id& lost, const customer_id& customer,
               lost_vm& vm, heir_task& task, const platform_object& object);
    void finish(const instance_id& lost, lost_vm& vm, heir_task& task,
                bool won);
    void retry(const instance_id& lost, const customer_id& customer,
               heir_task& task);
    [[nodiscard]] bool has_own_task(const lost_vm& vm) const;
    [[nodiscard]] bool is_ended(const instance_id& holder) const;

    core_context& context_;
    owner& owner_;
    witness& witness_;
    dispatcher& dispatcher_;
    std::map<instance_id, lost_vm> lost_;
};

} // namespace rosemarydeck
