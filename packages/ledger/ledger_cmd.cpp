/** @file ledger_cmd.cpp Commands and queries on a ledger value. */
#include "ledger/ledger_cmd.hpp"

#include "ledger/ledger_demand_func.hpp"
#include "ledger/share_limit_func.hpp"

#include <algorithm>
#include <cmath>

namespace rosemarydeck
{

namespace
{

/** Maximum number of previous writes kept per run. Their clock readings bound
 *  the end of other runs. */
constexpr std::size_t max_marks = 8;

/** Closes a run and charges the maximum that it can have spent. */
run_closing charge_ended_run(ledger& value, const instance_id& run,
                             std::optional<run_end> end)
{
    run_closing closing{run};
    if (end) {
        closing.time_since_write = end->time_since_write;
        closing.clock = end->clock;
    }
    value.members[run].closed = true;
    for (auto& [customer, account] : value.accounts) {
        const auto found = account.shares.find(run);
        if (found == account.shares.end())
            continue;
        const auto& share = found->second;
        const auto charge = share_limit(
            share, closing.time_since_write.value_or(full_grant_time));
        closing.charges.push_back({customer, share, charge});
        closing.reported += share.spent + share.reserved;
        closing.charged += charge - share.spent - share.reserved;
        account.closed += charge;
        account.shares.erase(found);
    }
    return closing;
}

std::vector<run_closing> charge_ended_runs(ledger& value,
                                           const ledger_renewal& renewal)
{
    std::map<instance_id, std::optional<run_end>> ended;
    for (const auto& [run, member] : value.members) {
        if (run == renewal.self || member.closed)
            continue;
        const auto end = bound_run_end(value, renewal, run);
        if (end || renewal.expired.count(run))
            ended[run] = end;
    }
    std::vector<run_closing> closings;
    closings.reserve(ended.size());
    for (const auto& [run, end] : ended)
        closings.push_back(charge_ended_run(value, run, end));
    for (const auto& run : renewal.expired)
        value.members.erase(run);
    return closings;
}

/**
 * Drops the mark that is missed least: the one between neighbours that are
 * close to each other for its age. The oldest one stays, so that some mark
 * precedes the last write of a run that was silent for long.
 * @param turn Turn of the ledger now; time by the number of writes, since wall
 *        clocks may jump.
 */
void thin_marks(std::vector<ledger_mark>& marks, std::uint64_t turn)
{
    if (marks.size() <= max_marks)
        return;
    std::size_t least = 1;
    auto least_gap = std::numeric_limits<double>::max();
    for (std::size_t at = 1; at + 1 < marks.size(); ++at) {
        const auto gap =
            static_cast<double>(marks[at + 1].turn - marks[at - 1].turn) /
            static_cast<double>(turn - marks[at].turn);
        if (gap < least_gap) {
            least = at;
            least_gap = gap;
        }
    }
    marks.erase(marks.begin() + static_cast<std::ptrdiff_t>(least));
}

/** Advances the ledger's turn and updates the writer's member entry. */
void update_own_member(ledger& value, const ledger_renewal& renewal)
{
    ++value.turn;
    auto& entry = value.members[renewal.self];
    auto marks = std::move(entry.marks);
    if (entry.turn != 0)
        marks.push_back({entry.turn, entry.wall_ms, entry.age_ms});
    thin_marks(marks, value.turn);
    const auto first_turn =
        entry.first_turn == 0 ? value.turn : entry.first_turn;
    entry = renewal.member;
    entry.turn = value.turn;
    entry.first_turn = first_turn;
    entry.marks = std::move(marks);
}

/** Sums over an account's shares; spent includes closed charges. */
struct account_sums
{
    token_count others_granted = 0;
    token_count spent = 0;
    token_count wanted = 0;
};

account_sums sum_shares(const ledger_account& account, const instance_id& self)
{
    account_sums sums;
    sums.spent = account.closed;
    for (const auto& [run, share] : account.shares) {
        sums.others_granted += run == self ? 0 : share.granted;
        sums.spent += share.spent;
        sums.wanted += share.wanted;
    }
    return sums;
}

/** @return True if a VM's equal part of the remaining budget covers 1.2 typical
 *  requests. Otherwise no headroom is granted ahead of requests, so that the
 *  rest stays available to any VM that needs it. */
bool covers_typical_request(token_count equal_part, const ledger_policy& policy)
{
    return equal_part * 5 >= policy.typical_request * 6;
}

/** @return Headroom for cover_seconds of spending plus one request, the latter
 *  capped at 4/5 of the equal part, and at least for the unmet demand. */
token_count wanted_headroom(const wallet_usage& usage,
                            const ledger_policy& policy, token_count equal_part)
{
    const auto ahead =
        covers_typical_request(equal_part, policy)
            ? std::min(std::max(usage.max_reservation, policy.typical_request),
                       equal_part * 4 / 5)
            : 0;
    const auto wanted = static_cast<token_count>(
        usage.rate * policy.cover_seconds + static_cast<double>(ahead));
    return std::max(wanted, usage.unmet_demand);
}

/** @return Number of VMs with a member entry, closed or not; at least 1. */
std::size_t count_vms(const ledger& value)
{
    std::set<vm_id> vms;
    for (const auto& [run, member] : value.members)
        vms.insert(member.vm);
    return std::max<std::size_t>(1, vms.size());
}

/** @return The slack between low and full that what is left allows. */
spending_slack slack_at(const ledger_policy& policy, double level)
{
    const auto fullness = std::clamp((level - policy.low_level) /
                                         (policy.full_level - policy.low_level),
                                     0.0, 1.0);
    const auto between = [&](double spending_slack::*field) {
        return std::lerp(policy.low.*field, policy.full.*field, fullness);
    };
    return {between(&spending_slack::max_burst_fraction),
            between(&spending_slack::max_slope_fraction),
            between(&spending_slack::slope_factor),
            between(&spending_slack::outage_seconds)};
}

/** What bounds the spendable part of a grant. */
struct spendable_bounds
{
    double part = 0; ///< The run's part of what is left, in tokens.
    double rate = 0; ///< Expected spending of the run, in tokens/s.
};

/** Sets the part of a grant that may be spent before the next write. */
void set_spendable_part(ledger_share& own, const wallet_usage& usage,
                        const ledger_policy& policy,
                        const spending_slack& slack,
                        const spendable_bounds& bounds)
{
    const auto expected =
        std::max(usage.rate, bounds.rate) * policy.burst_seconds +
        static_cast<double>(usage.max_reservation) * policy.burst_requests;
    const auto burst =
        std::max(expected, static_cast<double>(policy.typical_request));
    own.burst = std::max(usage.unmet_demand,
                         static_cast<token_count>(std::min(
                             burst, bounds.part * slack.max_burst_fraction)));
    own.slope = static_cast<token_count>(
                    std::min(bounds.rate * slack.slope_factor,
                             bounds.part * slack.max_slope_fraction)) +
                1;
}

/** @return Headroom that lasts for a store outage: at first the growth by the
 *  slope, and then the expected spending. */
double outage_headroom(const ledger_share& share, const spending_slack& slack,
                       double rate)
{
    using seconds = std::chrono::duration<double>;
    const auto slope = static_cast<double>(share.slope);
    return static_cast<double>(share.reserved + share.burst) +
           slope * seconds(linear_growth_end).count() +
           std::max(slope, rate * slack.slope_factor) * slack.outage_seconds;
}

/** Records a run's usage in its share and computes its new grant. */
void renew_share(ledger_account& account, const ledger_renewal& renewal,
                 const wallet_usage& usage, token_count prepaid,
                 std::size_t vms)
{
    const auto& policy = renewal.policy;
    auto& own = account.shares[renewal.self];
    own.spent = usage.spent;
    own.reserved = usage.reserved;
    own.lent = std::min(usage.lent, usage.spent);
    own.rate = std::llround(usage.mean_rate);
    own.wanted = 0;
    account.demand = update_demand(account, renewal.member.wall_ms);
    auto sums = sum_shares(account, renewal.self);
    const auto rest = std::max<token_count>(0, prepaid - sums.spent);
    const auto equal_part = rest / static_cast<token_count>(vms);
    own.wanted = wanted_headroom(usage, policy, equal_part);
    sums.wanted += own.wanted;
    auto fraction = static_cast<double>(own.wanted) /
                    static_cast<double>(std::max<token_count>(1, sums.wanted));
    // Without traffic of its own, a run gets at most an equal part, since the
    // demand of the other VMs may not be known either.
    if (usage.rate <= 0)
        fraction = std::min(fraction, 1.0 / static_cast<double>(vms));
    const auto distributed =
        policy.distributed_fraction * fraction * static_cast<double>(rest);
    const auto slack = slack_at(
        policy, static_cast<double>(rest) /
                    static_cast<double>(std::max<token_count>(1, prepaid)));
    const auto rate = expected_rate(account, usage.mean_rate, prepaid, vms);
    set_spendable_part(own, usage, policy, slack,
                       {fraction * static_cast<double>(rest), rate});
    const auto headroom = static_cast<token_count>(
        std::min(distributed, outage_headroom(own, slack, rate)));
    const auto grantable = prepaid - account.closed - sums.others_granted;
    const auto total =
        own.spent + std::max(headroom, own.reserved + usage.unmet_demand);
    own.granted =
        std::max(own.spent + own.reserved, std::min(total, grantable));
}

} // namespace

renewed_ledger renew(const ledger& current, const ledger_renewal& renewal)
{
    renewed_ledger result{current, {}};
    auto& next = result.next;
    result.closings = charge_ended_runs(next, renewal);
    update_own_member(next, renewal);
    for (const auto& [customer, prepaid] : renewal.prepaid) {
        const auto known = renewal.usage.find(customer);
        renew_share(next.accounts[customer], renewal,
                    known == renewal.usage.end() ? wallet_usage{}
                                                 : known->second,
                    prepaid, std::max(count_vms(next), renewal.policy.min_vms));
    }
    return result;
}

ledger close_run(const ledger& current, const instance_id& self,
                 const std::map<customer_id, token_count>& spent)
{
    auto next = current;
    ++next.turn;
    next.members.erase(self);
    for (auto& [customer, account] : next.accounts) {
        const auto share = account.shares.find(self);
        if (share == account.shares.end())
            continue;
        const auto own = spent.find(customer);
        account.closed +=
            own == spent.end() ? share->second.granted : own->second;
        account.shares.erase(share);
    }
    return next;
}

token_count consumed(const ledger& current, const customer_id& customer)
{
    const auto found = current.accounts.find(customer);
    if (found == current.accounts.end())
        return 0;
    auto sum = found->second.closed;
    for (const auto& [run, share] : found->second.shares)
        sum += share.spent - share.lent;
    return sum;
}

} // namespace rosemarydeck
