/** @file budget_tail_base.cpp Which requests the last of a budget serves. */
#include "ledger/budget_tail_base.hpp"

namespace rosemarydeck
{

namespace
{

/** Weight of a request in the moving means. */
constexpr double mean_weight = 1.0 / 16;
/** A request is large if it exceeds the mean of the smaller ones so far. */
constexpr double large_ratio = 2;
/** Parts of the prepaid total that are kept for requests which are not large
 *  among all, and for those not large among the small ones. At the rates of the
 *  users' sheets the first lasts for some ten seconds of small requests. */
constexpr double kept_for_small = 0.08;
constexpr double kept_for_least = 0.03;
/** Difference from the mean priority from which a request is urgent. */
constexpr double urgent_difference = 0.5;

void update(double& mean, double value)
{
    mean += mean == 0 ? value : mean_weight * (value - mean);
}

} // namespace

void budget_tail::record(const customer_id& customer,
                         const tail_request& request)
{
    const auto [found, first] = profiles_.try_emplace(customer);
    auto& known = found->second;
    const auto charge = static_cast<double>(request.charge);
    update(known.charge, charge);
    if (charge <= known.charge)
        update(known.small, charge);
    if (charge <= known.small)
        update(known.least, charge);
    if (first)
        known.priority = request.priority;
    else
        known.priority += mean_weight * (request.priority - known.priority);
}

bool budget_tail::admits(const customer_id& customer,
                         const tail_request& request,
                         const budget_level& level) const
{
    const auto found = profiles_.find(customer);
    const auto left = static_cast<double>(level.left);
    const auto prepaid = static_cast<double>(level.prepaid);
    if (found == profiles_.end() || left >= prepaid * kept_for_small)
        return true;
    const auto& known = found->second;
    if (request.priority <= known.priority - urgent_difference)
        return true;
    const auto charge = static_cast<double>(request.charge);
    if (charge > known.small * large_ratio)
        return false;
    return left >= prepaid * kept_for_least ||
           charge <= known.least * large_ratio;
}

} // namespace rosemarydeck
