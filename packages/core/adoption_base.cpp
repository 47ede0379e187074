/** @file adoption_base.cpp Adoption of the grants of lost VMs. */
#include "core/adoption_base.hpp"

#include "common/hash_func.hpp"
#include "member/instance_id_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

std::vector<key_record>::iterator find_record(std::vector<key_record>& records,
                                              const idempotency_key& key)
{
    return std::find_if(records.begin(), records.end(),
                        [&](const auto& each) { return each.key == key; });
}

} // namespace

adoption_manager::adoption_manager(core_context& context, owner& local_owner,
                                   witness& local_witness,
                                   dispatcher& local_dispatcher)
    : context_(context), owner_(local_owner), witness_(local_witness),
      dispatcher_(local_dispatcher)
{
}

adoption_manager::lost_vm&
adoption_manager::add_lost_vm(const instance_id& lost)
{
    const auto [found, is_new] = lost_vms_.try_emplace(lost);
    if (!is_new)
        return found->second;
    // The VM of an unfinished adoption may have been the only witness of the
    // VM that is lost now. Then its records may not show all that it spent.
    for (const auto& [other, vm] : lost_vms_)
        for (const auto& [customer, task] : vm.tasks)
            if (other != lost && !task.done)
                found->second.overlap = true;
    found->second.sealed_at = context_.now;
    witness_.seal(lost);
    context_.record(timeline_kind::grant_sealed, {}, {}, lost.value());
    return found->second;
}

void adoption_manager::on_vm_gone(const instance_id& lost)
{
    if (lost_vms_.find(lost) != lost_vms_.end())
        return;
    add_lost_vm(lost);
    send_seals(lost);
}

std::vector<customer_records>
adoption_manager::local_records(const instance_id& lost) const
{
    auto records = witness_.records_of(lost);
    for (auto& entry : owner_.records_for_holder(lost))
        records.push_back(std::move(entry));
    for (auto& entry : dispatcher_.records_for_holder(lost))
        records.push_back(std::move(entry));
    return records;
}

std::uint64_t adoption_manager::live_set_hash() const
{
    std::string names;
    for (const auto& instance :
         context_.members.live_in(context_.data_centre()))
        names += instance.value() + ",";
    return stable_hash(names);
}

void adoption_manager::send_seals(const instance_id& lost)
{
    std::map<instance_id, seal_notice> notices;
    for (const auto& instance :
         context_.members.live_in(context_.data_centre()))
        notices[instance] = {lost,
                             live_set_hash(),
                             witness_.synced(lost),
                             lost_vms_.at(lost).overlap,
                             {}};
    for (auto& entry : local_records(lost))
        notices[context_.owner_of(entry.customer)].entries.push_back(
            std::move(entry));
    for (auto& [heir, notice] : notices)
        context_.send(heir, std::move(notice));
}

void adoption_manager::on_seal_notice(const instance_id& from,
                                      const seal_notice& notice)
{
    if (notice.lost == context_.self())
        return; // This VM drains once a witness refuses its records.
    if (lost_vms_.find(notice.lost) == lost_vms_.end()) {
        add_lost_vm(notice.lost);
        context_.members.mark_gone(notice.lost);
        send_seals(notice.lost);
    }
    auto& vm = lost_vms_.at(notice.lost);
    vm.seals[from] = {notice.view, notice.synced, notice.overlap};
    for (const auto& entry : notice.entries)
        merge_records(vm, entry);
    start_tasks(notice.lost, vm);
}

void adoption_manager::merge_records(lost_vm& vm, const customer_records& entry)
{
    auto& task = vm.tasks[entry.customer];
    auto& holder_records = task.holder_records;
    holder_records.customer = entry.customer;
    holder_records.used_total =
        std::max(holder_records.used_total, entry.used_total);
    auto& records =
        entry.by_holder ? holder_records.records : task.runner_records;
    for (const auto& record : entry.records) {
        const auto known = find_record(records, record.key);
        if (known == records.end())
            records.push_back(record);
        else if (known->state == key_state::running)
            *known = record;
        else
            known->stored = known->stored || record.stored;
    }
}

token_count adoption_manager::resolve_records(const customer_id& customer,
                                              const lost_vm& vm,
                                              adoption_task& task)
{
    // A runner's record counts where the holder's records lack the end.
    token_count runner_only_total = 0;
    auto& records = task.holder_records.records;
    for (const auto& reported : task.runner_records) {
        const auto known = find_record(records, reported.key);
        if (known == records.end())
            records.push_back(reported);
        else if (known->state == key_state::running)
            *known = reported;
        else
            continue;
        if (reported.state == key_state::finished)
            runner_only_total += reported.charge.net();
    }
    task.runner_records.clear();
    task.holder_records.used_total += runner_only_total;
    task.open_tokens = 0;
    for (auto& record : records) {
        if (record.state != key_state::running)
            continue;
        const bool may_run =
            record.runner == context_.self() ||
            context_.members.state_of(record.runner) != member_state::gone;
        if (!may_run || owner_.owns(customer, record.key))
            record.state = key_state::released;
        else
            task.open_tokens += record.amount;
    }
    const auto billed_tokens = vm.billed_tokens.find(customer);
    return billed_tokens == vm.billed_tokens.end()
               ? task.holder_records.used_total
               : std::max(task.holder_records.used_total,
                          billed_tokens->second);
}

bool adoption_manager::is_exact(const lost_vm& vm) const
{
    const auto synced = [](const auto& seal) { return seal.second.synced; };
    const auto overlaps = [](const auto& seal) { return seal.second.overlap; };
    return std::any_of(vm.seals.begin(), vm.seals.end(), synced) &&
           std::none_of(vm.seals.begin(), vm.seals.end(), overlaps);
}

bool adoption_manager::has_all_seals(const lost_vm& vm) const
{
    const auto current = live_set_hash();
    const auto has_sealed = [&](const instance_id& instance) {
        const auto found = vm.seals.find(instance);
        return found != vm.seals.end() &&
               found->second.live_set_hash == current;
    };
    const auto peers = context_.members.members_in_own_data_centre();
    return has_sealed(context_.self()) &&
           std::all_of(peers.begin(), peers.end(), has_sealed);
}

void adoption_manager::start_tasks(const instance_id& lost, lost_vm& vm)
{
    if (!has_all_seals(vm))
        return;
    if (!vm.stored_bills) {
        if (!vm.listing_bills && has_own_task(vm)) {
            vm.listing_bills = true;
            list_bills(lost);
        }
        return;
    }
    for (auto& [customer, task] : vm.tasks) {
        if (task.done || task.started ||
            context_.owner_of(customer) != context_.self())
            continue;
        task.started = true;
        read_account(lost, customer);
    }
}

void adoption_manager::on_members_changed()
{
    for (auto& [lost, vm] : lost_vms_)
        send_seals(lost);
}

bool adoption_manager::is_ended(const instance_id& holder) const
{
    if (context_.members.find(holder) != nullptr)
        return context_.members.state_of(holder) == member_state::gone;
    // Not a member: a later start of the same VM proves that the instance
    // has ended, and so does the VM's absence from the platform's list.
    const auto vm = vm_of(holder);
    if (vm == context_.options.self.vm)
        return start_number_of(holder) < context_.options.self.started;
    for (const auto& member : context_.members.live_members())
        if (member.vm == vm)
            return start_number_of(holder) < member.started;
    const auto& listed = context_.config.vms();
    return !listed.empty() && listed.find(vm) == listed.end();
}

void adoption_manager::on_stale_grant(const stale_grant& grant)
{
    if (!is_ended(grant.holder))
        return;
    on_vm_gone(grant.holder);
    auto& vm = lost_vms_.at(grant.holder);
    auto& task = vm.tasks[grant.customer];
    task.holder_records.customer = grant.customer;
    if (task.done) {
        // The lost VM's write took effect late and restored the grant, so
        // it has to be adopted again.
        task.done = false;
        task.started = false;
    }
    start_tasks(grant.holder, vm);
}

bool adoption_manager::has_own_task(const lost_vm& vm) const
{
    return std::any_of(vm.tasks.begin(), vm.tasks.end(), [&](const auto& item) {
        return !item.second.done &&
               context_.owner_of(item.first) == context_.self();
    });
}

void adoption_manager::list_bills(const instance_id& lost)
{
    context_.platform.call(
        adoption_purpose{lost, {}},
        list_objects{bill_object_prefix + lost.value() + "/"});
}

void adoption_manager::on_bills_listed(const instance_id& lost, lost_vm& vm,
                                       const platform_result& result)
{
    if (!result) {
        context_.schedule(context_.backoff(vm.listing_failures++),
                          adoption_timer{lost, {}});
        return;
    }
    vm.stored_bills.emplace();
    vm.stored_reversals.emplace();
    for (const auto& object : result->objects) {
        const auto batch = parse_bill_batch(object.value);
        for (const auto& each : batch.bills)
            record_stored_bill(lost, vm, each);
    }
    start_tasks(lost, vm);
}

void adoption_manager::record_stored_bill(const instance_id& lost, lost_vm& vm,
                                          const bill& stored)
{
    auto& known = stored.reversal ? vm.stored_reversals : vm.stored_bills;
    known->insert({stored.customer, stored.key});
    if (stored.holder != lost)
        return;
    vm.billed_tokens[stored.customer] += stored.net();
    const auto oldest =
        to_microseconds(context_.now - context_.options.key_ttl);
    if (stored.reversal || stored.at_us < oldest)
        return;
    // A stored bill of which no witness has a record was made while no other
    // VM was live in the data centre.
    auto& task = vm.tasks[stored.customer];
    task.holder_records.customer = stored.customer;
    auto& records = task.holder_records.records;
    if (find_record(records, stored.key) != records.end())
        return;
    key_record record;
    record.key = stored.key;
    record.runner = lost;
    record.state = key_state::finished;
    record.charge = stored;
    record.stored = true;
    records.push_back(record);
}

void adoption_manager::read_account(const instance_id& lost,
                                    const customer_id& customer)
{
    context_.platform.call(adoption_purpose{lost, customer},
                           get_object{accounts_prefix + customer.value()});
}

void adoption_manager::on_answer(const adoption_purpose& purpose,
                                 const platform_result& result)
{
    const auto lost = lost_vms_.find(purpose.lost);
    if (lost == lost_vms_.end())
        return;
    auto& vm = lost->second;
    if (purpose.customer.empty())
        return on_bills_listed(purpose.lost, vm, result);
    auto& task = vm.tasks.at(purpose.customer);
    if (!result)
        return schedule_retry(purpose.lost, purpose.customer, task);
    const auto& object = result->objects.front();
    const bool is_write = object.value.empty();
    if (is_write)
        return finish(purpose.lost, vm, task, true);
    write_account(purpose.lost, purpose.customer, vm, task, object);
}

void adoption_manager::write_account(const instance_id& lost,
                                     const customer_id& customer, lost_vm& vm,
                                     adoption_task& task,
                                     const platform_object& object)
{
    const auto before = parse_account(object.value);
    if (!before)
        return schedule_retry(lost, customer, task);
    const auto* grant = find_grant(*before, lost);
    if (grant == nullptr) {
        const adopted_grant mine{lost, context_.self()};
        const auto& adopted = before->adopted;
        const bool adopted_here =
            task.write_sent &&
            std::find(adopted.begin(), adopted.end(), mine) != adopted.end();
        return finish(lost, vm, task, adopted_here);
    }
    const auto used_total = resolve_records(customer, vm, task);
    const auto after =
        adopt_grant(*before, {.lost = lost,
                              .heir = context_.self(),
                              .data_centre = context_.data_centre(),
                              .used_total = used_total,
                              .open = task.open_tokens,
                              .exact = is_exact(vm)});
    if (!after)
        return schedule_retry(lost, customer, task);
    task.write_sent = true;
    context_.platform.call(adoption_purpose{lost, customer},
                           update_object{object.name, object.version,
                                         nlohmann::json(*after).dump()});
}

void adoption_manager::finish(const instance_id& lost, lost_vm& vm,
                              adoption_task& task, bool adopted_here)
{
    for (auto& record : task.holder_records.records)
        if (vm.stored_bills->count({task.holder_records.customer, record.key}) >
            0)
            record.stored = true;
    for (auto& record : task.holder_records.records)
        if (vm.stored_reversals->count(
                {task.holder_records.customer, record.key}) > 0)
            record.reversed = record.reversal_stored = true;
    task.done = true;
    if (adopted_here)
        owner_.adopt(lost, task.holder_records, task.open_tokens, true);
    else
        owner_.adopt(lost, task.holder_records, 0, false);
}

void adoption_manager::schedule_retry(const instance_id& lost,
                                      const customer_id& customer,
                                      adoption_task& task)
{
    context_.schedule(context_.backoff(task.failures++),
                      adoption_timer{lost, customer});
}

void adoption_manager::on_timer(const adoption_timer& timer)
{
    const auto lost = lost_vms_.find(timer.lost);
    if (lost == lost_vms_.end())
        return;
    if (timer.customer.empty())
        list_bills(timer.lost);
    else if (!lost->second.tasks.at(timer.customer).done)
        read_account(timer.lost, timer.customer);
}

std::size_t adoption_manager::unfinished() const
{
    std::size_t count = 0;
    for (const auto& [lost, vm] : lost_vms_)
        for (const auto& [customer, task] : vm.tasks)
            count += task.done ? 0 : 1;
    return count;
}

void adoption_manager::remove_expired()
{
    for (auto at = lost_vms_.begin(); at != lost_vms_.end();) {
        if (context_.now - at->second.sealed_at < context_.options.key_ttl) {
            ++at;
            continue;
        }
        witness_.forget(at->first);
        at = lost_vms_.erase(at);
    }
}

} // namespace rosemarydeck
