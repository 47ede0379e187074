/** @file ledger_cmd.cpp Commands on the ledger value, and its queries. */
#include "ledger/ledger_cmd.hpp"

#include "ledger/share_limit_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Writes of a run that are kept as evidence for others' ends. */
constexpr std::size_t max_marks = 5;

/** Closes a run at the most that it can have spent. */
run_closing fold(ledger& value, const instance_id& run,
                 std::optional<duration> silence)
{
    run_closing closing{run, silence};
    value.members[run].closed = true;
    for (auto& [customer, account] : value.accounts) {
        const auto found = account.shares.find(run);
        if (found == account.shares.end())
            continue;
        const auto& share = found->second;
        const auto charge = share_limit(share, silence.value_or(full_span));
        closing.reported += share.spent + share.held;
        closing.charged += charge - share.spent - share.held;
        account.closed += charge;
        account.shares.erase(found);
    }
    return closing;
}

std::vector<run_closing> fold_ended(ledger& value, const ledger_renewal& wish)
{
    std::map<instance_id, std::optional<duration>> ended;
    for (const auto& [run, member] : value.members) {
        if (run == wish.self || member.closed)
            continue;
        const auto silence = longest_silence(value, wish, run);
        if (silence || wish.silent.count(run))
            ended[run] = silence;
    }
    std::vector<run_closing> closings;
    closings.reserve(ended.size());
    for (const auto& [run, silence] : ended)
        closings.push_back(fold(value, run, silence));
    for (const auto& run : wish.silent)
        value.members.erase(run);
    return closings;
}

/** Puts the writer's own entry in order. */
void sign(ledger& value, const ledger_renewal& wish)
{
    ++value.turn;
    auto& entry = value.members[wish.self];
    auto marks = std::move(entry.marks);
    if (entry.turn != 0)
        marks.push_back({entry.turn, entry.wall_ms});
    if (marks.size() > max_marks)
        marks.erase(marks.begin());
    const auto first_turn =
        entry.first_turn == 0 ? value.turn : entry.first_turn;
    entry = wish.member;
    entry.turn = value.turn;
    entry.first_turn = first_turn;
    entry.marks = std::move(marks);
}

/** Sums over an account's shares. */
struct account_sums
{
    token_count others_granted = 0;
    token_count spent = 0;
    token_count wanted = 0;
};

account_sums sum_up(const ledger_account& account, const instance_id& self)
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

/** @return True if each VM's equal part of a rest holds a request. Where it
 *  does not, nothing is held ahead of requests, so that the rest is there for
 *  whoever asks. */
bool holds_requests(token_count each, const ledger_policy& policy)
{
    return each * 5 >= policy.request * 6;
}

token_count wanted_by(const wallet_usage& usage, const ledger_policy& policy,
                      token_count each)
{
    const auto ahead =
        holds_requests(each, policy)
            ? std::min(std::max(usage.largest, policy.request), each * 4 / 5)
            : 0;
    const auto wanted = static_cast<token_count>(
        usage.rate * policy.cover_seconds + static_cast<double>(ahead));
    return std::max(wanted, usage.missing);
}

std::size_t vms_in(const ledger& value)
{
    std::set<vm_id> vms;
    for (const auto& [run, member] : value.members)
        vms.insert(member.vm);
    return std::max<std::size_t>(1, vms.size());
}

void renew_share(ledger_account& account, const ledger_renewal& wish,
                 const wallet_usage& usage, token_count prepaid,
                 std::size_t vms)
{
    const auto& policy = wish.policy;
    auto& own = account.shares[wish.self];
    own.spent = usage.spent;
    own.held = usage.reserved;
    own.lent = std::min(usage.lent, usage.spent);
    own.wanted = 0;
    auto sums = sum_up(account, wish.self);
    const auto rest = std::max<token_count>(0, prepaid - sums.spent);
    const auto each = rest / static_cast<token_count>(vms);
    own.wanted = wanted_by(usage, policy, each);
    sums.wanted += own.wanted;
    auto part = static_cast<double>(own.wanted) /
                static_cast<double>(std::max<token_count>(1, sums.wanted));
    // Before demand is known, the others' is not known either.
    if (usage.rate <= 0)
        part = std::min(part, 1.0 / static_cast<double>(vms));
    const auto spread = policy.spread_share * part * static_cast<double>(rest);
    const auto unknown =
        holds_requests(each, policy)
            ? std::max(0.0, 1.0 - usage.history / policy.history_seconds)
            : 0.0;
    const auto headroom = static_cast<token_count>(std::min(
        spread, std::max(policy.spread_limit * static_cast<double>(own.wanted),
                         unknown * spread)));
    const auto free = prepaid - account.closed - sums.others_granted;
    const auto wish_total =
        own.spent + std::max(headroom, own.held + usage.missing);
    own.granted = std::max(own.spent + own.held, std::min(wish_total, free));
    own.open =
        std::max(usage.missing,
                 static_cast<token_count>(usage.rate * policy.burst_seconds +
                                          static_cast<double>(usage.largest) *
                                              policy.open_largest));
    own.open = std::max(own.open, policy.request);
    own.slope = static_cast<token_count>(usage.rate * policy.slope_factor) + 1;
    // An unknown rate may turn out to be a good part of the headroom.
    const auto guess = unknown * static_cast<double>(headroom);
    own.open = std::max(own.open, static_cast<token_count>(guess / 12));
    own.slope = std::max(own.slope, static_cast<token_count>(guess / 10));
}

} // namespace

renewed_ledger renew(const ledger& now, const ledger_renewal& wish)
{
    renewed_ledger result{now, {}};
    auto& next = result.next;
    result.closings = fold_ended(next, wish);
    sign(next, wish);
    for (const auto& [customer, prepaid] : wish.prepaid) {
        const auto known = wish.usage.find(customer);
        renew_share(next.accounts[customer], wish,
                    known == wish.usage.end() ? wallet_usage{} : known->second,
                    prepaid, std::max(vms_in(next), wish.policy.min_vms));
    }
    return result;
}

ledger close_run(const ledger& now, const instance_id& self,
                 const std::map<customer_id, token_count>& spent)
{
    auto next = now;
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

token_count consumed(const ledger& now, const customer_id& customer)
{
    const auto found = now.accounts.find(customer);
    if (found == now.accounts.end())
        return 0;
    auto sum = found->second.closed;
    for (const auto& [run, share] : found->second.shares)
        sum += share.spent - share.lent;
    return sum;
}

} // namespace rosemarydeck
