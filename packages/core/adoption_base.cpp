/** @file adoption_base.cpp Ends the grants of VMs that are lost. */
#include "core/adoption_base.hpp"

#include "common/hash_func.hpp"
#include "member/instance_id_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

std::vector<key_record>::iterator find_key(std::vector<key_record>& records,
                                           const idempotency_key& key)
{
    return std::find_if(records.begin(), records.end(),
                        [&](const auto& each) { return each.key == key; });
}

} // namespace

adoption_manager::adoption_manager(core_context& context, owner& own,
                                   witness& kept, dispatcher& requests)
    : context_(context), owner_(own), witness_(kept), dispatcher_(requests)
{
}

adoption_manager::lost_vm& adoption_manager::begin(const instance_id& lost)
{
    const auto [found, is_new] = lost_.try_emplace(lost);
    if (!is_new)
        return found->second;
    // While another adoption is open, the other lost VM may have been this
    // one's only witness; then nothing unspent can be proven.
    for (const auto& [other, vm] : lost_)
        for (const auto& [customer, task] : vm.tasks)
            if (other != lost && !task.done)
                found->second.overlap = true;
    found->second.since = context_.now;
    witness_.seal(lost);
    context_.record(timeline_kind::grant_sealed, {}, {}, lost.value());
    return found->second;
}

void adoption_manager::on_gone(const instance_id& lost)
{
    if (lost_.find(lost) != lost_.end())
        return;
    begin(lost);
    send_seals(lost);
}

std::vector<customer_records>
adoption_manager::all_records(const instance_id& lost) const
{
    auto records = witness_.records_of(lost);
    for (auto& entry : owner_.records_for_holder(lost))
        records.push_back(std::move(entry));
    for (auto& entry : dispatcher_.records_for_holder(lost))
        records.push_back(std::move(entry));
    return records;
}

std::uint64_t adoption_manager::view() const
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
        notices[instance] = {
            lost, view(), witness_.synced(lost), lost_.at(lost).overlap, {}};
    for (auto& entry : all_records(lost))
        notices[context_.owner_of(entry.customer)].entries.push_back(
            std::move(entry));
    for (auto& [heir, notice] : notices)
        context_.send(heir, std::move(notice));
}

void adoption_manager::on_seal_notice(const instance_id& from,
                                      const seal_notice& notice)
{
    if (notice.lost == context_.self())
        return; // This VM's own witnesses refuse it; the owner stops.
    if (lost_.find(notice.lost) == lost_.end()) {
        begin(notice.lost);
        context_.members.mark_gone(notice.lost);
        send_seals(notice.lost);
    }
    auto& vm = lost_.at(notice.lost);
    vm.seals[from] = {notice.view, notice.synced, notice.overlap};
    for (const auto& entry : notice.entries)
        merge(vm, entry);
    start_tasks(notice.lost, vm);
}

void adoption_manager::merge(lost_vm& vm, const customer_records& entry)
{
    auto& task = vm.tasks[entry.customer];
    auto& found = task.found;
    found.customer = entry.customer;
    found.used_total = std::max(found.used_total, entry.used_total);
    auto& records = entry.by_holder ? found.records : task.by_runners;
    for (const auto& record : entry.records) {
        const auto known = find_key(records, record.key);
        if (known == records.end())
            records.push_back(record);
        else if (known->state == key_state::running)
            *known = record;
        else
            known->stored = known->stored || record.stored;
    }
}

token_count adoption_manager::weigh_records(const customer_id& customer,
                                            const lost_vm& vm, heir_task& task)
{
    // A runner's word counts where the holder had not yet heard of the end.
    token_count beyond_total = 0;
    auto& records = task.found.records;
    for (const auto& told : task.by_runners) {
        const auto known = find_key(records, told.key);
        if (known == records.end())
            records.push_back(told);
        else if (known->state == key_state::running)
            *known = told;
        else
            continue;
        if (told.state == key_state::finished)
            beyond_total += told.charge.net();
    }
    task.by_runners.clear();
    task.found.used_total += beyond_total;
    task.open = 0;
    for (auto& record : records) {
        if (record.state != key_state::running)
            continue;
        const bool runs =
            record.runner == context_.self() ||
            context_.members.state_of(record.runner) != member_state::gone;
        if (!runs || owner_.owns(customer, record.key))
            record.state = key_state::released;
        else
            task.open += record.amount;
    }
    const auto billed = vm.billed.find(customer);
    return billed == vm.billed.end()
               ? task.found.used_total
               : std::max(task.found.used_total, billed->second);
}

bool adoption_manager::exact(const lost_vm& vm) const
{
    const auto synced = [](const auto& seal) { return seal.second.synced; };
    const auto overlaps = [](const auto& seal) { return seal.second.overlap; };
    return std::any_of(vm.seals.begin(), vm.seals.end(), synced) &&
           std::none_of(vm.seals.begin(), vm.seals.end(), overlaps);
}

bool adoption_manager::complete(const lost_vm& vm) const
{
    const auto current = view();
    const auto sealed = [&](const instance_id& instance) {
        const auto found = vm.seals.find(instance);
        return found != vm.seals.end() && found->second.view == current;
    };
    const auto peers = context_.members.possible_peers();
    return sealed(context_.self()) &&
           std::all_of(peers.begin(), peers.end(), sealed);
}

void adoption_manager::start_tasks(const instance_id& lost, lost_vm& vm)
{
    if (!complete(vm))
        return;
    if (!vm.stored) {
        if (!vm.listing && has_own_task(vm)) {
            vm.listing = true;
            list_bills(lost);
        }
        return;
    }
    for (auto& [customer, task] : vm.tasks) {
        if (task.done || task.started ||
            context_.owner_of(customer) != context_.self())
            continue;
        task.started = true;
        read(lost, customer);
    }
}

void adoption_manager::on_members_changed()
{
    for (auto& [lost, vm] : lost_)
        send_seals(lost);
}

bool adoption_manager::is_ended(const instance_id& holder) const
{
    if (context_.members.find(holder) != nullptr)
        return context_.members.state_of(holder) == member_state::gone;
    // Never heard of: a later start of the same VM proves its end, and so
    // does its absence from the platform's list.
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
    on_gone(grant.holder);
    auto& vm = lost_.at(grant.holder);
    auto& task = vm.tasks[grant.customer];
    task.found.customer = grant.customer;
    if (task.done) {
        // A grant that shows up again was written late; it is ended too.
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
        context_.schedule(context_.backoff(vm.list_failures++),
                          adoption_timer{lost, {}});
        return;
    }
    vm.stored.emplace();
    vm.reversed.emplace();
    for (const auto& object : result->objects) {
        const auto batch = parse_bill_batch(object.value);
        for (const auto& each : batch.bills)
            take_stored_bill(lost, vm, each);
    }
    start_tasks(lost, vm);
}

void adoption_manager::take_stored_bill(const instance_id& lost, lost_vm& vm,
                                        const bill& stored)
{
    auto& known = stored.reversal ? vm.reversed : vm.stored;
    known->insert({stored.customer, stored.key});
    if (stored.holder != lost)
        return;
    vm.billed[stored.customer] += stored.net();
    const auto oldest =
        to_microseconds(context_.now - context_.options.key_ttl);
    if (stored.reversal || stored.at_us < oldest)
        return;
    // A bill that no witness knows of was made while the VM was alone.
    auto& task = vm.tasks[stored.customer];
    task.found.customer = stored.customer;
    auto& records = task.found.records;
    if (find_key(records, stored.key) != records.end())
        return;
    key_record record;
    record.key = stored.key;
    record.runner = lost;
    record.state = key_state::finished;
    record.charge = stored;
    record.stored = true;
    records.push_back(record);
}

void adoption_manager::read(const instance_id& lost,
                            const customer_id& customer)
{
    context_.platform.call(adoption_purpose{lost, customer},
                           get_object{accounts_prefix + customer.value()});
}

void adoption_manager::on_answer(const adoption_purpose& purpose,
                                 const platform_result& result)
{
    const auto lost = lost_.find(purpose.lost);
    if (lost == lost_.end())
        return;
    auto& vm = lost->second;
    if (purpose.customer.empty())
        return on_bills_listed(purpose.lost, vm, result);
    auto& task = vm.tasks.at(purpose.customer);
    if (!result)
        return retry(purpose.lost, purpose.customer, task);
    const auto& object = result->objects.front();
    const bool is_write = object.value.empty();
    if (is_write)
        return finish(purpose.lost, vm, task, true);
    write(purpose.lost, purpose.customer, vm, task, object);
}

void adoption_manager::write(const instance_id& lost,
                             const customer_id& customer, lost_vm& vm,
                             heir_task& task, const platform_object& object)
{
    const auto before = parse_account(object.value);
    if (!before)
        return retry(lost, customer, task);
    const auto* grant = find_grant(*before, lost);
    if (grant == nullptr) {
        const adopted_grant mine{lost, context_.self()};
        const auto& adopted = before->adopted;
        const bool won = task.wrote && std::find(adopted.begin(), adopted.end(),
                                                 mine) != adopted.end();
        return finish(lost, vm, task, won);
    }
    const auto known = weigh_records(customer, vm, task);
    const auto after =
        adopt_grant(*before, {.lost = lost,
                              .heir = context_.self(),
                              .data_centre = context_.data_centre(),
                              .used_total = known,
                              .open = task.open,
                              .exact = exact(vm)});
    if (!after)
        return retry(lost, customer, task);
    task.wrote = true;
    context_.platform.call(adoption_purpose{lost, customer},
                           update_object{object.name, object.version,
                                         nlohmann::json(*after).dump()});
}

void adoption_manager::finish(const instance_id& lost, lost_vm& vm,
                              heir_task& task, bool won)
{
    for (auto& record : task.found.records)
        if (vm.stored->count({task.found.customer, record.key}) > 0)
            record.stored = true;
    for (auto& record : task.found.records)
        if (vm.reversed->count({task.found.customer, record.key}) > 0)
            record.reversed = record.reversal_stored = true;
    task.done = true;
    if (won)
        owner_.adopt(lost, task.found, task.open, true);
    else
        owner_.adopt(lost, task.found, 0, false);
}

void adoption_manager::retry(const instance_id& lost,
                             const customer_id& customer, heir_task& task)
{
    context_.schedule(context_.backoff(task.failures++),
                      adoption_timer{lost, customer});
}

void adoption_manager::on_timer(const adoption_timer& timer)
{
    const auto lost = lost_.find(timer.lost);
    if (lost == lost_.end())
        return;
    if (timer.customer.empty())
        list_bills(timer.lost);
    else if (!lost->second.tasks.at(timer.customer).done)
        read(timer.lost, timer.customer);
}

std::size_t adoption_manager::unfinished() const
{
    std::size_t count = 0;
    for (const auto& [lost, vm] : lost_)
        for (const auto& [customer, task] : vm.tasks)
            count += task.done ? 0 : 1;
    return count;
}

void adoption_manager::remove_expired()
{
    for (auto at = lost_.begin(); at != lost_.end();) {
        if (context_.now - at->second.since < context_.options.key_ttl) {
            ++at;
            continue;
        }
        witness_.forget(at->first);
        at = lost_.erase(at);
    }
}

} // namespace rosemarydeck
