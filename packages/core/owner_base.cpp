/** @file owner_base.cpp Reservations and request keys of an owner. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"
#include "core/witness_base.hpp"
#include "request/generated_key_func.hpp"

#include <algorithm>
#include <cmath>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t default_retry_after_ms = 500;
constexpr std::int64_t exhausted_retry_after_ms = 5000;
constexpr double seconds_per_minute = 60;
/** Time constant of the exponential decay of a customer's demand. */
constexpr double demand_time_constant_s = 60;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

owner::owner(core_context& context, bill_writer& bills,
             const witness& local_witness)
    : context_(context), bill_writer_(bills), witness_(local_witness)
{
}

owner::owned_customer& owner::customer_state(const customer_id& customer)
{
    return customers_[customer];
}

void owner::on_reserve(const instance_id& from, const reserve_request& request)
{
    auto& state = customer_state(request.customer);
    if (answer_if_known(state, from, request))
        return;
    if (context_.sealed || bill_writer_.backlog_full())
        return reply(from, request, reserve_outcome::unavailable);
    if (!admit_by_allowance(state, request))
        return reply(from, request, reserve_outcome::over_limit);
    if (!state.waiting.empty() || !try_reserve(state, from, request))
        enqueue_waiting(state, from, request);
}

bool owner::answer_if_known(owned_customer& state, const instance_id& from,
                            const reserve_request& request)
{
    const auto found = state.keys.find(request.key);
    if (found == state.keys.end() ||
        found->second.record.state == key_state::released)
        return answer_from_witness_records(from, request);
    auto& entry = found->second;
    const auto& record = entry.record;
    const bool runner_lives = context_.members.is_live(record.runner);
    if (record.fingerprint != 0 && record.fingerprint != request.fingerprint)
        reply(from, request, reserve_outcome::key_conflict);
    else if (record.state == key_state::finished)
        reply(from, request,
              runner_lives ? reserve_outcome::finished : reserve_outcome::rerun,
              record.runner);
    else if (record.runner == from && record.id == request.id) {
        if (entry.runner_notified)
            reply(from, request, reserve_outcome::reserved);
    }
    else if (runner_lives)
        reply(from, request, reserve_outcome::running, record.runner);
    else if (entry.holder == context_.self())
        reassign_runner(state, entry, from, request);
    else
        return false;
    return true;
}

bool owner::answer_from_witness_records(const instance_id& from,
                                        const reserve_request& request)
{
    // The previous owner may be suspected and not yet known to be gone. Until
    // its grant is adopted, the records that it sent to this VM as its witness
    // are used.
    const auto* record = witness_.find(request.customer, request.key);
    if (record == nullptr || record->state == key_state::released)
        return false;
    const bool runner_lives = context_.members.is_live(record->runner);
    if (record->fingerprint != request.fingerprint)
        reply(from, request, reserve_outcome::key_conflict);
    else if (record->state == key_state::finished)
        reply(from, request,
              runner_lives ? reserve_outcome::finished : reserve_outcome::rerun,
              record->runner);
    else if (runner_lives && record->runner != from)
        reply(from, request, reserve_outcome::running, record->runner);
    else
        return false;
    return true;
}

void owner::reassign_runner(owned_customer& state, owned_key& entry,
                            const instance_id& from,
                            const reserve_request& request)
{
    // The runner was lost before it reported an end, so the retry uses the
    // same reservation; whichever run ends first is billed.
    entry.record.runner = from;
    entry.record.id = request.id;
    entry.runner_notified = false;
    replicate(request.customer, state, {request.key});
}

bool owner::admit_by_allowance(owned_customer& state,
                               const reserve_request& request)
{
    const auto* customer_allowance =
        context_.config.customer_allowance(request.customer);
    if (customer_allowance == nullptr)
        return true;
    if (state.running_count >= customer_allowance->max_concurrent)
        return false;
    const auto per_second =
        static_cast<double>(customer_allowance->requests_per_minute) /
        seconds_per_minute;
    const auto burst = std::max(per_second, 1.0);
    if (state.rate_bucket_updated_at == time_point{})
        state.rate_bucket = burst;
    else
        state.rate_bucket = std::min(
            burst, state.rate_bucket +
                       per_second * seconds(context_.now -
                                            state.rate_bucket_updated_at));
    state.rate_bucket_updated_at = context_.now;
    if (state.rate_bucket < 1)
        return false;
    state.rate_bucket -= 1;
    return true;
}

bool owner::fits_solo_limit(const owned_customer& state,
                            token_count amount) const
{
    return state.pool.reserved() + state.pool.used() + amount <=
           state.pool.solo_limit();
}

bool owner::try_reserve(owned_customer& state, const instance_id& from,
                        const reserve_request& request)
{
    const bool has_no_witness = context_.witness_for(request.customer).empty();
    if (has_no_witness && !fits_solo_limit(state, request.amount))
        return false;
    if (!state.pool.reserve(request.amount))
        return false;
    owned_key entry;
    entry.record = {request.key,    request.fingerprint, from, request.id,
                    request.amount, key_state::running,  {},   false};
    entry.holder = context_.self();
    state.keys[request.key] = std::move(entry);
    ++state.running_count;
    replicate(request.customer, state, {request.key});
    return true;
}

void owner::enqueue_waiting(owned_customer& state, const instance_id& from,
                            const reserve_request& request)
{
    const bool waits_already = std::any_of(
        state.waiting.begin(), state.waiting.end(), [&](const auto& each) {
            return each.from == from && each.request.id == request.id;
        });
    if (waits_already)
        return;
    if (context_.now < state.exhausted_until)
        return reply(from, request, reserve_outcome::exhausted);
    if (state.waiting.size() >= context_.options.max_waiting_reservations)
        return reply(from, request, reserve_outcome::unavailable);
    state.waiting.push_back({from, request, context_.now});
    if (!state.waiting_timer_set) {
        state.waiting_timer_set = true;
        context_.schedule(context_.options.reserve_timeout,
                          waiting_timer{request.customer});
    }
    start_renewal(request.customer, state);
}

void owner::serve_waiting(owned_customer& state)
{
    while (!state.waiting.empty()) {
        // The same key may have been reserved while this request waited.
        const auto& next = state.waiting.front();
        if (!answer_if_known(state, next.from, next.request) &&
            !try_reserve(state, next.from, next.request))
            return;
        state.waiting.pop_front();
    }
}

void owner::refuse_waiting(owned_customer& state, reserve_outcome outcome)
{
    for (const auto& each : state.waiting)
        reply(each.from, each.request, outcome);
    state.waiting.clear();
}

void owner::on_waiting_timer(const customer_id& customer)
{
    auto& state = customer_state(customer);
    state.waiting_timer_set = false;
    const auto timeout = context_.options.reserve_timeout;
    while (!state.waiting.empty() &&
           context_.now - state.waiting.front().since >= timeout) {
        const auto& oldest = state.waiting.front();
        reply(oldest.from, oldest.request, reserve_outcome::unavailable);
        state.waiting.pop_front();
    }
    if (state.waiting.empty())
        return;
    state.waiting_timer_set = true;
    context_.schedule(state.waiting.front().since + timeout - context_.now,
                      waiting_timer{customer});
}

void owner::on_settle(const instance_id& from, const settle_request& request)
{
    auto& state = customer_state(request.customer);
    const auto found = state.keys.find(request.record.key);
    const bool is_own =
        found != state.keys.end() && found->second.holder == context_.self();
    if (is_own && found->second.record.state == key_state::running) {
        const bool current = found->second.record.runner == from &&
                             found->second.record.id == request.record.id;
        // The release by a runner that was replaced must not end the run of
        // its successor; a finished run is billed whoever reports it.
        if (current || request.record.state == key_state::finished) {
            found->second.record.runner = from;
            found->second.record.id = request.record.id;
            settle_reservation(request.customer, state, found->second,
                               request.record);
            return;
        }
    }
    const bool on_other_grant =
        !is_own && request.holder != context_.self() && !request.holder.empty();
    if (on_other_grant)
        return settle_orphan(from, state, request);
    if (is_own && !found->second.runner_notified)
        return; // The reply follows when the witness has the record.
    context_.send(from, settle_reply{request.customer, request.record.key,
                                     request.record.id});
}

void owner::settle_reservation(const customer_id& customer,
                               owned_customer& state, owned_key& entry,
                               const key_record& ended)
{
    auto& record = entry.record;
    record.state = ended.state;
    record.charge = ended.charge;
    record.charge.holder = context_.self();
    entry.ended = context_.now;
    entry.runner_notified = false;
    --state.running_count;
    if (record.state == key_state::finished)
        state.finished_net_total += record.charge.net();
    // The end is counted and confirmed only when the witness has the record,
    // so that an heir never finds less spending than was counted.
    replicate(customer, state, {record.key});
    schedule_renewal(customer, state, context_.options.grant_renewal_interval);
}

void owner::record_settlement(owned_customer& state, owned_key& entry)
{
    if (entry.counted_in_pool || entry.record.state == key_state::running)
        return;
    entry.counted_in_pool = true;
    const auto& record = entry.record;
    const bool finished = record.state == key_state::finished;
    const auto net = finished ? record.charge.net() : 0;
    state.pool.settle(record.amount, net);
    record_demand(state, net);
    if (!finished)
        return;
    bill_writer_.add(record.charge);
    if (is_generated_key(record.key))
        return; // A generated key is unique to one VM: no duplicate bill.
    billed_log_.push_back(
        {{record.charge.customer, record.key, record.charge.at_us}, false});
}

void owner::record_demand(owned_customer& state, token_count spent)
{
    if (state.demand_updated_at != time_point{}) {
        const auto passed = seconds(context_.now - state.demand_updated_at);
        state.demand *= std::exp(-passed / demand_time_constant_s);
    }
    state.demand_updated_at = context_.now;
    state.demand += static_cast<double>(spent) / demand_time_constant_s;
}

void owner::settle_orphan(const instance_id& from, owned_customer& state,
                          const settle_request& request)
{
    auto record = request.record;
    const auto found = state.keys.find(record.key);
    const bool billed_here = found != state.keys.end() &&
                             found->second.holder == context_.self() &&
                             found->second.record.state == key_state::finished;
    if (billed_here)
        record.state = key_state::released;
    if (found == state.keys.end() || found->second.holder != context_.self()) {
        owned_key entry;
        entry.record = record;
        entry.holder = request.holder;
        entry.runner_notified = true;
        entry.ended = context_.now;
        state.keys[record.key] = std::move(entry);
    }
    orphans_[request.customer][record.key] = request.holder;
    context_.send(from, settle_reply{request.customer, record.key, record.id});
    if (context_.members.is_live(request.holder))
        context_.send(request.holder,
                      settle_request{request.holder, request.customer, record});
}

void owner::on_running_notice(const running_notice& notice)
{
    auto& state = customer_state(notice.customer);
    if (state.keys.find(notice.record.key) != state.keys.end())
        return;
    owned_key entry;
    entry.record = notice.record;
    entry.holder = notice.holder;
    entry.runner_notified = true;
    state.keys[notice.record.key] = std::move(entry);
}

void owner::on_member_up(const instance_id& instance)
{
    up_since_[instance] = context_.now;
    digest_cursors_.erase(instance);
    rewind_digest_cursors(instance);
    for (const auto& [customer, keys] : orphans_) {
        const auto& state = customer_state(customer);
        for (const auto& [key, holder] : keys) {
            const auto found = state.keys.find(key);
            if (holder == instance && found != state.keys.end())
                context_.send(instance, settle_request{holder, customer,
                                                       found->second.record});
        }
    }
}

void owner::on_orphan_settled(const instance_id& from,
                              const settle_reply& reply)
{
    const auto found = orphans_.find(reply.customer);
    if (found == orphans_.end())
        return;
    const auto orphan = found->second.find(reply.key);
    if (orphan == found->second.end() || orphan->second != from)
        return;
    found->second.erase(orphan);
    if (found->second.empty())
        orphans_.erase(found);
}

std::vector<customer_records>
owner::records_for_holder(const instance_id& lost) const
{
    std::vector<customer_records> found;
    for (const auto& [customer, state] : customers_) {
        customer_records entry{customer, 0, false, {}};
        for (const auto& [key, owned] : state.keys)
            if (owned.holder == lost)
                entry.records.push_back(owned.record);
        if (!entry.records.empty())
            found.push_back(std::move(entry));
    }
    return found;
}

void owner::remove_expired()
{
    const auto key_ttl = context_.options.key_ttl;
    const auto oldest = to_microseconds(context_.now - key_ttl);
    while (!billed_log_.empty() && billed_log_.front().billed.at_us < oldest) {
        billed_log_.pop_front();
        ++billed_log_start_;
    }
    for (auto at = customers_.begin(); at != customers_.end();) {
        auto& state = at->second;
        std::erase_if(state.keys, [&](const auto& item) {
            const auto& entry = item.second;
            return entry.record.state != key_state::running &&
                   context_.now - entry.ended > key_ttl;
        });
        const bool unused = state.keys.empty() && state.waiting.empty() &&
                            state.pool.idle() && !state.renewal_timer_set;
        at = unused ? customers_.erase(at) : std::next(at);
    }
}

bool owner::owns(const customer_id& customer, const idempotency_key& key) const
{
    const auto state = customers_.find(customer);
    if (state == customers_.end())
        return false;
    const auto entry = state->second.keys.find(key);
    return entry != state->second.keys.end() &&
           entry->second.holder == context_.self();
}

const budget_pool* owner::pool(const customer_id& customer) const
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? nullptr : &found->second.pool;
}

void owner::reply(const instance_id& to, const reserve_request& request,
                  reserve_outcome outcome, const instance_id& runner)
{
    std::int64_t retry_after = default_retry_after_ms;
    if (outcome == reserve_outcome::exhausted)
        retry_after = exhausted_retry_after_ms;
    context_.send(to, reserve_reply{request.id, outcome, context_.self(),
                                    runner, retry_after});
}

} // namespace rosemarydeck
