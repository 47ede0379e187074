/** @file witness_base.cpp Replicas of other owners' records. */
#include "core/witness_base.hpp"

#include "request/generated_key_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

witness::witness(core_context& context) : context_(context) {}

void witness::on_put(const instance_id& from, const witness_put& put)
{
    if (sealed_.find(from) != sealed_.end()) {
        context_.send(from, witness_ack{put.number, true});
        return;
    }
    auto& customer_entry = holders_[from][put.entry.customer];
    customer_entry.used_total =
        std::max(customer_entry.used_total, put.entry.used_total);
    for (const auto& record : put.entry.records) {
        auto& known = customer_entry.records[record.key];
        const bool stored = known.stored || record.stored;
        known = record;
        known.stored = stored;
    }
    context_.send(from, witness_ack{put.number, false});
}

void witness::on_bills_stored(const instance_id& from,
                              const witness_stored& notice)
{
    const auto holder = holders_.find(from);
    if (holder == holders_.end())
        return;
    for (const auto& entry : notice.keys) {
        const auto customer_entry = holder->second.find(entry.customer);
        if (customer_entry == holder->second.end())
            continue;
        const auto record = customer_entry->second.records.find(entry.key);
        if (record == customer_entry->second.records.end())
            continue;
        record->second.stored = true;
        if (is_generated_key(entry.key))
            customer_entry->second.records.erase(record);
    }
}

void witness::on_synced(const instance_id& from)
{
    synced_.insert(from);
}

bool witness::synced(const instance_id& holder) const
{
    return synced_.find(holder) != synced_.end();
}

const key_record* witness::find(const customer_id& customer,
                                const idempotency_key& key) const
{
    const key_record* best = nullptr;
    for (const auto& [holder, customers] : holders_) {
        const auto customer_entry = customers.find(customer);
        if (customer_entry == customers.end())
            continue;
        const auto record = customer_entry->second.records.find(key);
        if (record == customer_entry->second.records.end())
            continue;
        if (best == nullptr || record->second.state == key_state::finished)
            best = &record->second;
    }
    return best;
}

void witness::seal(const instance_id& holder)
{
    sealed_.insert(holder);
}

std::vector<customer_records>
witness::records_of(const instance_id& holder) const
{
    std::vector<customer_records> found;
    const auto found_holder = holders_.find(holder);
    if (found_holder == holders_.end())
        return found;
    for (const auto& [customer, state] : found_holder->second) {
        customer_records entry{customer, state.used_total, true, {}};
        for (const auto& [key, record] : state.records)
            entry.records.push_back(record);
        found.push_back(std::move(entry));
    }
    return found;
}

void witness::forget(const instance_id& holder)
{
    holders_.erase(holder);
    synced_.erase(holder);
}

void witness::remove_expired()
{
    const auto oldest =
        to_microseconds(context_.now - context_.options.key_ttl);
    for (auto& [holder, customers] : holders_)
        for (auto& [customer, customer_entry] : customers)
            std::erase_if(customer_entry.records, [&](const auto& item) {
                const auto& record = item.second;
                return record.state == key_state::finished && record.stored &&
                       record.charge.at_us < oldest;
            });
}

std::size_t witness::size() const
{
    std::size_t count = 0;
    for (const auto& [holder, customers] : holders_)
        for (const auto& [customer, customer_entry] : customers)
            count += customer_entry.records.size();
    return count;
}

} // namespace rosemarydeck
