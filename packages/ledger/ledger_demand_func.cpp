/** @file ledger_demand_func.cpp Demand for a budget on all VMs. */
#include "ledger/ledger_demand_func.hpp"

#include <algorithm>
#include <cmath>

namespace rosemarydeck
{

namespace
{

/** Time over which the fleet's demand is averaged, in seconds. */
constexpr double demand_window = 10;
/** Longest time that an update counts for, in seconds, so that a clock that
 *  jumps does not replace the mean. */
constexpr double max_update_span = 2;
/** Part of a prepaid total that its customer is taken to use in a second before
 *  any use is known: a total usually lasts for a minute or more. */
constexpr double unknown_demand_part = 0.015;
/** Part of the fleet's demand per VM that a VM expects where its own rate is
 *  lower: clients move between VMs. */
constexpr double shared_part = 0.5;

/** @return What all runs spend at present, in tokens/s. */
token_count present_rate(const ledger_account& account)
{
    token_count sum = 0;
    for (const auto& [run, share] : account.shares)
        sum += share.rate;
    return sum;
}

} // namespace

ledger_demand update_demand(const ledger_account& account, std::int64_t wall_ms)
{
    const auto present = present_rate(account);
    const auto& known = account.demand;
    if (known.per_s == 0)
        return {present, present == 0 ? 0 : wall_ms};
    const auto span =
        std::clamp(static_cast<double>(wall_ms - known.wall_ms) / 1'000, 0.0,
                   max_update_span);
    const auto weight = 1 - std::exp(-span / demand_window);
    const auto mean = std::lerp(static_cast<double>(known.per_s),
                                static_cast<double>(present), weight);
    // At least 1: the customer has used its budget before.
    return {std::max<token_count>(1, std::llround(mean)), wall_ms};
}

double expected_rate(const ledger_account& account, double own_rate,
                     token_count prepaid, std::size_t vms)
{
    const auto fleet_rate =
        account.demand.per_s > 0
            ? static_cast<double>(
                  std::max(account.demand.per_s, present_rate(account)))
            : static_cast<double>(prepaid) * unknown_demand_part;
    return std::lerp(own_rate,
                     fleet_rate /
                         static_cast<double>(std::max<std::size_t>(1, vms)),
                     shared_part);
}

} // namespace rosemarydeck
