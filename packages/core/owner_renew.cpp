/** @file owner_renew.cpp Renewal of grants and recall of tokens. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace rosemarydeck
{

namespace
{

/** Time after a renewal for which the budget counts as exhausted. */
constexpr duration exhausted_ttl = std::chrono::seconds(1);
constexpr duration min_recall_interval = std::chrono::seconds(1);
/** Tokens that the receiver of a recall keeps, in seconds of its demand. */
constexpr double recall_kept_demand_s = 10;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** @return Data centres that may hold grants: listed and live ones. */
std::size_t data_centre_count(const core_context& context)
{
    std::set<dc_id> found;
    for (const auto& [vm, entry] : context.config.vms())
        found.insert(entry.data_centre);
    for (const auto& live : context.members.live_data_centres())
        found.insert(live);
    return found.size();
}

} // namespace

void owner::schedule_renewal(const customer_id& customer, owned_customer& state,
                             duration after)
{
    if (state.renewal_timer_set && after > duration{})
        return;
    state.renewal_timer_set = true;
    context_.schedule(after, renew_timer{customer});
}

void owner::on_renew_timer(const customer_id& customer)
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
        return;
    auto& state = found->second;
    state.renewal_timer_set = false;
    start_renewal(customer, state);
}

void owner::start_renewal(const customer_id& customer, owned_customer& state)
{
    if (state.step != renewal_step::idle)
        return;
    if (!state.account_value)
        return read_account(customer, state);
    if (!state.pool.renewing()) {
        const auto extra = extra_to_request(customer, state);
        const bool settles = state.pool.used() != 0;
        const bool has_no_witness = context_.witness_for(customer).empty();
        const bool witness_changed =
            has_no_witness != state.no_witness_confirmed;
        if (extra == 0 && !settles && !witness_changed)
            return after_renewal(customer, state);
        state.pool.begin_renewal(extra);
    }
    write_renewal(customer, state);
}

token_count owner::waiting_tokens(const owned_customer& state) const
{
    token_count sum = 0;
    for (const auto& each : state.waiting)
        sum += each.request.amount;
    return sum;
}

token_count owner::extra_to_request(const customer_id& customer,
                                    const owned_customer& state) const
{
    const auto available = state.pool.available();
    if (context_.draining || context_.sealed)
        return -available;
    if (state.tokens_to_return > 0)
        return -std::min(state.tokens_to_return, available);
    auto value = *state.account_value;
    const auto* plan = context_.config.plan(customer);
    const auto version = context_.config.plan_version(customer);
    if (plan != nullptr && version > value.plan_version)
        value.prepaid = plan->prepaid;
    token_count assigned = value.settled + value.unproven;
    for (const auto& grant : value.grants)
        assigned += grant.amount;
    const auto unassigned_tokens = value.prepaid - assigned;
    if (unassigned_tokens < 0) // The budget was lowered below what is granted.
        return -std::min(-unassigned_tokens, available);
    const auto needed_now = waiting_tokens(state);
    const auto expected_demand = static_cast<token_count>(
        state.demand * seconds(context_.options.grant_coverage_period));
    const auto target =
        needed_now +
        std::max(expected_demand, context_.options.min_grant_headroom);
    if (available > 2 * target)
        return target - available;
    // A step is a share of the unassigned tokens, so that the last do not all
    // go to one data centre.
    const auto max_step =
        unassigned_tokens /
        static_cast<token_count>(data_centre_count(context_) + 1);
    const auto missing_to_target = std::max<token_count>(target - available, 0);
    const auto missing_now = std::max<token_count>(needed_now - available, 0);
    const bool is_low = available < target / 2 || missing_now > 0;
    return is_low ? std::max(missing_now, std::min(missing_to_target, max_step))
                  : 0;
}

grant_renewal owner::make_grant_renewal(const customer_id& customer,
                                        const owned_customer& state) const
{
    const auto& pending = state.pool.pending();
    const auto* plan = context_.config.plan(customer);
    grant_renewal request;
    request.holder = context_.self();
    request.data_centre = context_.data_centre();
    request.sequence = pending.sequence;
    request.used = pending.used;
    request.extra = pending.extra;
    request.alone = context_.witness_for(customer).empty();
    request.solo_percent = context_.options.solo_percent;
    if (plan != nullptr) {
        request.prepaid = plan->prepaid;
        request.plan_version = context_.config.plan_version(customer);
    }
    return request;
}

void owner::read_account(const customer_id& customer, owned_customer& state)
{
    state.step = renewal_step::reading;
    context_.platform.call(renewal_purpose{customer},
                           get_object{accounts_prefix + customer.value()});
}

void owner::write_renewal(const customer_id& customer, owned_customer& state)
{
    const auto next =
        renew_grant(*state.account_value, make_grant_renewal(customer, state));
    if (!next) {
        // The account in memory is older than the last renewal of the grant.
        state.account_value.reset();
        state.renewal_timer_set = false;
        return schedule_renewal(customer, state,
                                context_.backoff(state.failures++));
    }
    state.step = renewal_step::writing;
    state.no_witness_pending = context_.witness_for(customer).empty();
    state.granted_extra = next->extra;
    state.granted_solo = find_grant(next->after, context_.self())->solo;
    state.account_value = next->after;
    const auto name = accounts_prefix + customer.value();
    const auto text = nlohmann::json(next->after).dump();
    if (state.account_version == 0)
        context_.platform.call(renewal_purpose{customer},
                               create_object{name, text});
    else
        context_.platform.call(
            renewal_purpose{customer},
            update_object{name, state.account_version, text});
}

void owner::on_renewal_answer(const customer_id& customer,
                              const platform_result& result)
{
    auto& state = customer_state(customer);
    const auto step = std::exchange(state.step, renewal_step::idle);
    if (!result && result.error().code == error_code::unavailable) {
        // The write may have taken effect, so the account is read next.
        state.account_value.reset();
        state.renewal_timer_set = false;
        schedule_renewal(customer, state, context_.backoff(state.failures++));
        return;
    }
    if (step == renewal_step::reading)
        on_account_read(customer, state, result);
    else if (step == renewal_step::writing)
        on_account_written(customer, state, result);
}

void owner::on_account_read(const customer_id& customer, owned_customer& state,
                            const platform_result& result)
{
    state.account_value.reset();
    if (!result) {
        if (result.error().code != error_code::not_found)
            return schedule_renewal(customer, state,
                                    context_.backoff(state.failures++));
        state.account_version = 0;
        account fresh;
        fresh.customer = customer;
        state.account_value = fresh;
    }
    else {
        const auto& object = result->objects.front();
        const auto value = parse_account(object.value);
        if (!value) {
            context_.record(timeline_kind::config_rejected, customer, {},
                            describe(value.error()));
            return schedule_renewal(customer, state,
                                    context_.backoff(state.failures++));
        }
        state.account_value = *value;
        state.account_version = object.version;
        report_stale_grants(customer, *value);
    }
    const auto* mine = find_grant(*state.account_value, context_.self());
    if (state.pool.renewing() && mine != nullptr &&
        mine->sequence == state.pool.pending().sequence)
        return finish_renewal(customer, state, mine->last_extra, mine->solo);
    start_renewal(customer, state);
}

void owner::on_account_written(const customer_id& customer,
                               owned_customer& state,
                               const platform_result& result)
{
    if (result) {
        state.account_version = result->objects.front().version;
        return finish_renewal(customer, state, state.granted_extra,
                              state.granted_solo);
    }
    state.account_value.reset();
    if (state.failures == 0) {
        ++state.failures;
        return read_account(customer, state);
    }
    state.renewal_timer_set = false;
    schedule_renewal(customer, state, context_.backoff(state.failures++) / 4);
}

void owner::finish_renewal(const customer_id& customer, owned_customer& state,
                           token_count granted_extra, token_count granted_solo)
{
    const auto settled = state.pool.pending().used;
    state.pool.confirm_renewal(granted_extra, granted_solo);
    state.no_witness_confirmed = state.no_witness_pending;
    state.failures = 0;
    const auto kind = granted_extra < 0 ? timeline_kind::grant_returned
                                        : timeline_kind::grant_drawn;
    context_.record(kind, customer, {},
                    "settled " + std::to_string(settled) + ", extra " +
                        std::to_string(granted_extra) + ", granted " +
                        std::to_string(state.pool.granted()));
    if (!state.recalled_by.empty()) {
        context_.send(
            state.recalled_by,
            recall_reply{customer, std::max<token_count>(-granted_extra, 0)});
        state.recalled_by = {};
        state.tokens_to_return = 0;
    }
    after_renewal(customer, state);
}

void owner::after_renewal(const customer_id& customer, owned_customer& state)
{
    serve_waiting(state);
    if (context_.draining && state.pool.granted() > 0)
        return schedule_renewal(customer, state,
                                context_.options.initial_platform_backoff);
    if (state.waiting.empty()) {
        if (state.pool.granted() > 0)
            schedule_renewal(customer, state,
                             context_.options.grant_renewal_interval);
        return;
    }
    if (state.open_recalls > 0 || send_recalls(customer, state))
        return;
    state.exhausted_until = context_.now + exhausted_ttl;
    context_.record(timeline_kind::budget_exhausted, customer, {},
                    "tokens needed by waiting requests: " +
                        std::to_string(waiting_tokens(state)));
    refuse_waiting(state, reserve_outcome::exhausted);
}

bool owner::send_recalls(const customer_id& customer, owned_customer& state)
{
    if (context_.now < state.next_recall_at)
        return false;
    state.next_recall_at = context_.now + min_recall_interval;
    const auto wanted = waiting_tokens(state);
    for (const auto& data_centre : context_.members.live_data_centres()) {
        if (data_centre == context_.data_centre())
            continue;
        const auto other =
            context_.members.ranking(customer.value(), data_centre).front();
        context_.send(other, recall_request{customer, wanted});
        ++state.open_recalls;
    }
    return state.open_recalls > 0;
}

void owner::on_recall(const instance_id& from, const recall_request& request)
{
    auto& state = customer_state(request.customer);
    const auto kept_tokens =
        static_cast<token_count>(state.demand * recall_kept_demand_s);
    const auto spare = state.pool.available() - kept_tokens;
    const bool busy = state.pool.renewing() || !state.recalled_by.empty();
    if (spare <= 0 || busy) {
        context_.send(from, recall_reply{request.customer, 0});
        return;
    }
    // At least half of the spare tokens are returned, so that the asking
    // data centre does not recall for each request.
    state.tokens_to_return =
        std::min(spare, std::max(request.wanted, spare / 2));
    state.recalled_by = from;
    context_.record(timeline_kind::grant_recalled, request.customer, {},
                    "by " + from.value());
    start_renewal(request.customer, state);
}

void owner::on_recall_reply(const recall_reply& reply)
{
    auto& state = customer_state(reply.customer);
    if (state.open_recalls > 0)
        --state.open_recalls;
    if (reply.returned > 0 || state.open_recalls == 0) {
        state.account_value.reset();
        start_renewal(reply.customer, state);
    }
}

void owner::report_stale_grants(const customer_id& customer,
                                const account& value)
{
    for (const auto& grant : value.grants)
        if (grant.data_centre == context_.data_centre() &&
            grant.holder != context_.self() &&
            !context_.members.is_live(grant.holder))
            context_.stale_grants.push_back({customer, grant.holder});
}

void owner::begin_drain()
{
    for (auto& [customer, state] : customers_) {
        refuse_waiting(state, reserve_outcome::unavailable);
        start_renewal(customer, state);
    }
}

bool owner::drained() const
{
    return context_.sealed ||
           std::all_of(customers_.begin(), customers_.end(),
                       [](const auto& item) {
                           const auto& pool = item.second.pool;
                           return pool.granted() == 0 && pool.used() == 0 &&
                                  !pool.renewing();
                       });
}

} // namespace rosemarydeck
