/** @file ledger_cmd.cpp Commands on the ledger value, and its queries. */
#include "ledger/ledger_cmd.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Requests of the largest size that headroom covers besides the rate. */
constexpr double largest_in_flight = 3;

/** Charges all that ended runs were granted: they may have spent it. */
void fold(ledger& value, const instance_id& run)
{
    value.members.erase(run);
    for (auto& [customer, account] : value.accounts) {
        const auto share = account.shares.find(run);
        if (share == account.shares.end())
            continue;
        account.closed += share->second.granted;
        account.shares.erase(share);
    }
}

void fold_ended(ledger& value, const ledger_renewal& wish)
{
    std::set<instance_id> ended = wish.silent;
    for (const auto& [run, member] : value.members)
        if (member.vm == wish.member.vm)
            ended.insert(run);
    ended.erase(wish.self);
    for (const auto& run : ended)
        fold(value, run);
}

token_count wanted_by(const wallet_usage& usage, const ledger_renewal& wish,
                      token_count prepaid)
{
    if (usage.spent == 0 && usage.reserved == 0 && usage.missing == 0)
        return static_cast<token_count>(static_cast<double>(prepaid) *
                                        wish.first_share);
    const auto wanted = usage.rate * wish.cover_seconds +
                        static_cast<double>(usage.largest) * largest_in_flight;
    return std::max(static_cast<token_count>(wanted), usage.missing);
}

/** Writes one customer's share. @return What is granted from now on. */
token_count renew_share(ledger_account& account, const ledger_renewal& wish,
                        const wallet_usage& usage, token_count prepaid)
{
    auto& own = account.shares[wish.self];
    own.spent = usage.spent;
    own.wanted = wanted_by(usage, wish, prepaid);
    token_count others_granted = 0;
    token_count all_spent = account.closed;
    token_count all_wanted = 0;
    for (const auto& [run, share] : account.shares) {
        others_granted += run == wish.self ? 0 : share.granted;
        all_spent += share.spent;
        all_wanted += share.wanted;
    }
    const auto rest = std::max<token_count>(0, prepaid - all_spent);
    auto headroom = own.wanted;
    if (all_wanted > rest)
        headroom = static_cast<token_count>(static_cast<double>(rest) *
                                            static_cast<double>(own.wanted) /
                                            static_cast<double>(all_wanted));
    headroom = std::max(headroom, usage.missing);
    const auto free = prepaid - account.closed - others_granted;
    const auto held = usage.spent + usage.reserved;
    own.granted = std::max(held, std::min(usage.spent + headroom, free));
    // What is held was granted before, so it is within what is free unless
    // the operator has cut the budget.
    return own.granted;
}

} // namespace

renewed_ledger renew(const ledger& now, const ledger_renewal& wish)
{
    renewed_ledger result{now, {}};
    fold_ended(result.next, wish);
    result.next.members[wish.self] = wish.member;
    for (const auto& [customer, prepaid] : wish.prepaid) {
        const auto known = wish.usage.find(customer);
        const auto usage =
            known == wish.usage.end() ? wallet_usage{} : known->second;
        result.granted[customer] =
            renew_share(result.next.accounts[customer], wish, usage, prepaid);
    }
    return result;
}

ledger close_run(const ledger& now, const instance_id& self,
                 const std::map<customer_id, token_count>& spent)
{
    auto next = now;
    next.members.erase(self);
    for (auto& [customer, account] : next.accounts) {
        const auto share = account.shares.find(self);
        if (share == account.shares.end())
            continue;
        const auto own = spent.find(customer);
        account.closed += own == spent.end()
                              ? share->second.granted
                              : std::min(own->second, share->second.granted);
        account.shares.erase(share);
    }
    return next;
}

token_count unspent(const ledger& now, const customer_id& customer,
                    token_count prepaid)
{
    const auto found = now.accounts.find(customer);
    if (found == now.accounts.end())
        return prepaid;
    token_count spent = found->second.closed;
    for (const auto& [run, share] : found->second.shares)
        spent += share.spent;
    return prepaid - spent;
}

} // namespace rosemarydeck
