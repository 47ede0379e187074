/** @file owner_renew.cpp Renewal of grants at the platform. */
#include "core/owner_base.hpp"

#include "core/bill_writer_base.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace rosemarydeck
{

namespace
{

constexpr duration exhausted_memory = std::chrono::seconds(1);
constexpr duration recall_pause = std::chrono::seconds(1);
/** What a recalled holder keeps, as seconds of its own demand. */
constexpr double recall_keep_s = 10;

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

void owner::want_renewal(const customer_id& customer, owned_customer& state,
                         duration after)
{
    if (state.timer_set && after > duration{})
        return;
    state.timer_set = true;
    context_.schedule(after, renew_timer{customer});
}

void owner::on_renew_timer(const customer_id& customer)
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
        return;
    auto& state = found->second;
    state.timer_set = false;
    start_renewal(customer, state);
}

void owner::start_renewal(const customer_id& customer, owned_customer& state)
{
    if (state.step != renewal_step::idle)
        return;
    if (!state.account_value)
        return read_account(customer, state);
    if (!state.pool.renewing()) {
        const auto extra = wanted_extra(customer, state);
        const bool settles = state.pool.used() != 0;
        const bool alone = context_.witness_for(customer).empty();
        const bool marks = alone != state.marked_alone;
        if (extra == 0 && !settles && !marks)
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

token_count owner::wanted_extra(const customer_id& customer,
                                const owned_customer& state) const
{
    const auto available = state.pool.available();
    if (context_.draining || context_.sealed)
        return -available;
    if (state.give_back > 0)
        return -std::min(state.give_back, available);
    auto value = *state.account_value;
    const auto* plan = context_.config.plan(customer);
    const auto version = context_.config.plan_version(customer);
    if (plan != nullptr && version > value.plan_version)
        value.prepaid = plan->prepaid;
    token_count assigned = value.settled + value.unproven;
    for (const auto& grant : value.grants)
        assigned += grant.amount;
    const auto free = value.prepaid - assigned;
    if (free < 0) // The budget was cut below what is granted.
        return -std::min(-free, available);
    const auto need = waiting_tokens(state);
    const auto cover = static_cast<token_count>(
        state.demand * seconds(context_.options.grant_cover));
    const auto target = need + std::max(cover, context_.options.grant_minimum);
    if (available > 2 * target)
        return target - available;
    // The less is left, the smaller the step, so that the last tokens are
    // not all in one data centre.
    const auto share =
        free / static_cast<token_count>(data_centre_count(context_) + 1);
    const auto wished = std::max<token_count>(target - available, 0);
    const auto urgent = std::max<token_count>(need - available, 0);
    const bool low = available < target / 2 || urgent > 0;
    return low ? std::max(urgent, std::min(wished, share)) : 0;
}

grant_renewal owner::wish_of(const customer_id& customer,
                             const owned_customer& state) const
{
    const auto& pending = state.pool.pending();
    const auto* plan = context_.config.plan(customer);
    grant_renewal wish;
    wish.holder = context_.self();
    wish.data_centre = context_.data_centre();
    wish.sequence = pending.sequence;
    wish.used = pending.used;
    wish.extra = pending.extra;
    wish.alone = context_.witness_for(customer).empty();
    wish.solo_percent = context_.options.solo_percent;
    if (plan != nullptr) {
        wish.prepaid = plan->prepaid;
        wish.plan_version = context_.config.plan_version(customer);
    }
    return wish;
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
        renew_grant(*state.account_value, wish_of(customer, state));
    if (!next) {
        // The cached account is older than this VM's own grant.
        state.account_value.reset();
        state.timer_set = false;
        return want_renewal(customer, state,
                            context_.backoff(state.failures++));
    }
    state.step = renewal_step::writing;
    state.marking_alone = context_.witness_for(customer).empty();
    state.got = next->extra;
    state.solo = find_grant(next->after, context_.self())->solo;
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
    auto& state = customer_of(customer);
    const auto step = std::exchange(state.step, renewal_step::idle);
    if (!result && result.error().code == error_code::unavailable) {
        // A write may have taken effect, so the account is read next.
        state.account_value.reset();
        state.timer_set = false;
        want_renewal(customer, state, context_.backoff(state.failures++));
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
            return want_renewal(customer, state,
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
            return want_renewal(customer, state,
                                context_.backoff(state.failures++));
        }
        state.account_value = *value;
        state.account_version = object.version;
        report_stale(customer, *value);
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
        return finish_renewal(customer, state, state.got, state.solo);
    }
    state.account_value.reset();
    if (state.failures == 0) {
        ++state.failures;
        return read_account(customer, state);
    }
    state.timer_set = false;
    want_renewal(customer, state, context_.backoff(state.failures++) / 4);
}

void owner::finish_renewal(const customer_id& customer, owned_customer& state,
                           token_count got, token_count solo)
{
    const auto settled = state.pool.pending().used;
    state.pool.confirm_renewal(got, solo);
    state.marked_alone = state.marking_alone;
    state.failures = 0;
    const auto kind =
        got < 0 ? timeline_kind::grant_returned : timeline_kind::grant_drawn;
    context_.record(kind, customer, {},
                    "settled " + std::to_string(settled) + ", extra " +
                        std::to_string(got) + ", held " +
                        std::to_string(state.pool.granted()));
    if (!state.recall_from.empty()) {
        context_.send(state.recall_from,
                      recall_reply{customer, std::max<token_count>(-got, 0)});
        state.recall_from = {};
        state.give_back = 0;
    }
    after_renewal(customer, state);
}

void owner::after_renewal(const customer_id& customer, owned_customer& state)
{
    serve_waiting(state);
    if (context_.draining && state.pool.granted() > 0)
        return want_renewal(customer, state, context_.options.initial_backoff);
    if (state.waiting.empty()) {
        if (state.pool.granted() > 0)
            want_renewal(customer, state, context_.options.renewal_interval);
        return;
    }
    if (state.recalls_open > 0 || ask_others(customer, state))
        return;
    state.exhausted_until = context_.now + exhausted_memory;
    context_.record(timeline_kind::budget_exhausted, customer, {},
                    "needs " + std::to_string(waiting_tokens(state)));
    refuse_waiting(state, reserve_outcome::exhausted);
}

bool owner::ask_others(const customer_id& customer, owned_customer& state)
{
    if (context_.now < state.recalled_until)
        return false;
    state.recalled_until = context_.now + recall_pause;
    const auto wanted = waiting_tokens(state);
    for (const auto& data_centre : context_.members.live_data_centres()) {
        if (data_centre == context_.data_centre())
            continue;
        const auto other =
            context_.members.ranking(customer.value(), data_centre).front();
        context_.send(other, recall_request{customer, wanted});
        ++state.recalls_open;
    }
    return state.recalls_open > 0;
}

void owner::on_recall(const instance_id& from, const recall_request& request)
{
    auto& state = customer_of(request.customer);
    const auto keep = static_cast<token_count>(state.demand * recall_keep_s);
    const auto spare = state.pool.available() - keep;
    const bool busy = state.pool.renewing() || !state.recall_from.empty();
    if (spare <= 0 || busy) {
        context_.send(from, recall_reply{request.customer, 0});
        return;
    }
    // Half of the spare at least, so that a needy data centre need not ask
    // for each request anew.
    state.give_back = std::min(spare, std::max(request.wanted, spare / 2));
    state.recall_from = from;
    context_.record(timeline_kind::grant_recalled, request.customer, {},
                    "by " + from.value());
    start_renewal(request.customer, state);
}

void owner::on_recall_reply(const recall_reply& reply)
{
    auto& state = customer_of(reply.customer);
    if (state.recalls_open > 0)
        --state.recalls_open;
    if (reply.returned > 0 || state.recalls_open == 0) {
        state.account_value.reset();
        start_renewal(reply.customer, state);
    }
}

void owner::report_stale(const customer_id& customer, const account& value)
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
