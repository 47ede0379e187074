/** @file witness_base.cpp Records that this VM keeps for other owners. */
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
    auto& kept = holders_[from][put.entry.customer];
    kept.used_total = std::max(kept.used_total, put.entry.used_total);
    for (const auto& record : put.entry.records) {
        auto& known = kept.records[record.key];
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
        const auto kept = holder->second.find(entry.customer);
        if (kept == holder->second.end())
            continue;
        const auto record = kept->second.records.find(entry.key);
        if (record == kept->second.records.end())
            continue;
        record->second.stored = true;
        if (is_generated_key(entry.key))
            kept->second.records.erase(record);
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
        const auto kept = customers.find(customer);
        if (kept == customers.end())
            continue;
        const auto record = kept->second.records.find(key);
        if (record == kept->second.records.end())
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
    const auto kept = holders_.find(holder);
    if (kept == holders_.end())
        return found;
    for (const auto& [customer, state] : kept->second) {
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
        for (auto& [customer, kept] : customers)
            std::erase_if(kept.records, [&](const auto& item) {
                const auto& record = item.second;
                return record.state == key_state::finished && record.stored &&
                       record.charge.at_us < oldest;
            });
}

std::size_t witness::size() const
{
    std::size_t count = 0;
    for (const auto& [holder, customers] : holders_)
        for (const auto& [customer, kept] : customers)
            count += kept.records.size();
    return count;
}

} // namespace rosemarydeck
