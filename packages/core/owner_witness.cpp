/** @file owner_witness.cpp Replication of an owner's records. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"
#include "request/generated_key_func.hpp"

namespace rosemarydeck
{

void owner::replicate(const customer_id& customer, owned_customer& state,
                      const std::vector<idempotency_key>& keys)
{
    const auto witness = context_.witness_for(customer);
    if (witness.empty()) {
        for (const auto& key : keys) {
            auto& entry = state.keys.at(key);
            entry.replication = replication_state::no_witness;
            notify_runner(customer, state, entry);
        }
        return;
    }
    auto& link = witness_links_[witness];
    const auto number = ++link.last_number;
    witness_put put{number, {customer, state.finished_net_total, true, {}}};
    for (const auto& key : keys) {
        auto& entry = state.keys.at(key);
        entry.replication = replication_state::in_flight;
        put.entry.records.push_back(entry.record);
    }
    link.sent[number] = {customer, keys};
    context_.send(witness, std::move(put));
}

void owner::resync(const customer_id& customer, owned_customer& state)
{
    std::vector<idempotency_key> own;
    for (const auto& [key, entry] : state.keys)
        if (entry.holder == context_.self() || entry.adopted)
            own.push_back(key);
    if (!own.empty())
        replicate(customer, state, own);
}

void owner::on_members_changed()
{
    // Records on their way to a witness that is no longer live are sent
    // again, like all others, to the VM that is the witness now.
    for (auto& [instance, link] : witness_links_)
        if (!context_.members.is_live(instance))
            link.sent.clear();
    for (auto& [customer, state] : customers_) {
        resync(customer, state);
        // Without a witness, a renewal has to note this in the account before
        // more of the grant may be spent. With a witness again, a renewal
        // lowers what would be unproven if this VM were lost.
        const bool has_no_witness = context_.witness_for(customer).empty();
        if (has_no_witness != state.no_witness_confirmed &&
            state.pool.granted() > 0)
            schedule_renewal(customer, state, duration{});
    }
    for (const auto& instance :
         context_.members.live_in(context_.data_centre()))
        if (instance != context_.self())
            context_.send(instance,
                          witness_synced{witness_links_[instance].last_number});
}

void owner::on_witness_ack(const instance_id& from, const witness_ack& ack)
{
    auto& link = witness_links_[from];
    const auto found = link.sent.find(ack.number);
    if (found == link.sent.end())
        return;
    const auto sent = std::move(found->second);
    link.sent.erase(found);
    if (ack.sealed) {
        if (!context_.sealed)
            context_.record(timeline_kind::grant_sealed, sent.customer, {},
                            "this VM was sealed as lost by " + from.value());
        context_.sealed = true;
        return;
    }
    const auto customer = customers_.find(sent.customer);
    if (customer == customers_.end())
        return;
    for (const auto& key : sent.keys) {
        const auto entry = customer->second.keys.find(key);
        if (entry == customer->second.keys.end())
            continue;
        entry->second.replication = replication_state::acknowledged;
        notify_runner(sent.customer, customer->second, entry->second);
    }
}

void owner::notify_runner(const customer_id& customer, owned_customer& state,
                          owned_key& entry)
{
    if (entry.runner_notified || entry.holder != context_.self())
        return;
    entry.runner_notified = true;
    record_settlement(state, entry);
    const auto& record = entry.record;
    if (record.state == key_state::running)
        context_.send(record.runner,
                      reserve_reply{record.id, reserve_outcome::reserved,
                                    context_.self(), record.runner, 0});
    else
        context_.send(record.runner,
                      settle_reply{customer, record.key, record.id});
    if (record.state != key_state::running)
        serve_waiting(state);
}

void owner::on_bills_stored(const std::vector<bill>& stored)
{
    std::map<instance_id, witness_stored> notices;
    for (const auto& each : stored) {
        const auto state = customers_.find(each.customer);
        if (state == customers_.end())
            continue;
        const auto entry = state->second.keys.find(each.key);
        if (entry == state->second.keys.end())
            continue;
        auto& record = entry->second.record;
        (each.reversal ? record.reversal_stored : record.stored) = true;
        if (is_generated_key(each.key))
            state->second.keys.erase(entry);
        const auto witness = context_.witness_for(each.customer);
        if (!witness.empty())
            notices[witness].keys.push_back({each.customer, each.key});
    }
    for (auto& [witness, notice] : notices)
        context_.send(witness, std::move(notice));
}

void owner::add_missing_bills(const key_record& record)
{
    if (record.state != key_state::finished)
        return;
    if (!record.stored)
        bill_writer_.add(record.charge);
    if (!record.reversed || record.reversal_stored)
        return;
    auto reversal_bill = record.charge;
    reversal_bill.reversal = true;
    bill_writer_.add(reversal_bill);
}

void owner::record_finished_key(const instance_id& lost, owned_customer& state,
                                const key_record& record)
{
    // Another heir has the grant; here, only finished keys are needed, to
    // answer retries.
    if (record.state != key_state::finished ||
        state.keys.find(record.key) != state.keys.end())
        return;
    auto& entry = state.keys[record.key];
    entry.record = record;
    entry.holder = lost;
    entry.runner_notified = true;
    entry.ended = context_.now;
}

bool owner::adopt_record(const instance_id& lost, const customer_id& customer,
                         owned_customer& state, const key_record& record)
{
    const auto known = state.keys.find(record.key);
    if (known != state.keys.end() && known->second.holder == context_.self()) {
        // Billed on both grants. The lost grant has ended, so the bill on
        // this VM's grant is the one to reverse.
        if (record.state == key_state::finished) {
            add_missing_bills(record);
            if (!record.reversed &&
                known->second.record.state == key_state::finished)
                reverse(customer, record.key);
        }
        return false;
    }
    add_missing_bills(record);
    // A runner may have reported the end during the adoption.
    std::optional<key_record> ended;
    if (known != state.keys.end() &&
        known->second.record.state != key_state::running)
        ended = known->second.record;
    auto& entry = state.keys[record.key];
    entry.record = record;
    entry.holder = lost;
    entry.runner_notified = true;
    entry.ended = context_.now;
    if (record.state == key_state::finished) {
        entry.adopted = true;
        entry.counted_in_pool = true;
        billed_log_.push_back(
            {{customer, record.key, record.charge.at_us}, true});
        return true;
    }
    if (record.state != key_state::running)
        return false;
    entry.holder = context_.self();
    ++state.running_count;
    if (ended)
        settle_reservation(customer, state, entry, *ended);
    return !ended;
}

void owner::adopt(const instance_id& lost,
                  const customer_records& holder_records,
                  token_count open_tokens, bool adopted_here)
{
    auto& state = customer_state(holder_records.customer);
    state.pool.adopt(open_tokens);
    std::vector<idempotency_key> adopted;
    for (const auto& record : holder_records.records)
        if (!adopted_here)
            record_finished_key(lost, state, record);
        else if (adopt_record(lost, holder_records.customer, state, record))
            adopted.push_back(record.key);
    orphans_.erase(holder_records.customer);
    if (!adopted.empty())
        replicate(holder_records.customer, state, adopted);
    schedule_renewal(holder_records.customer, state, duration{});
    context_.record(timeline_kind::grant_adopted, holder_records.customer, {},
                    "from " + lost.value() + ", reserved tokens " +
                        std::to_string(open_tokens));
}

} // namespace rosemarydeck
