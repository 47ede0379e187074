/** @file ledger_demand_func.hpp Demand for a budget on all VMs. */
#pragma once

#include "ledger/ledger_type.hpp"

#include <cstddef>

namespace rosemarydeck
{

/**
 * Moves an account's mean demand towards what its runs spend at present.
 * @param wall_ms Unix time in ms; may jump, which only changes the weight.
 * @return The new mean.
 */
ledger_demand update_demand(const ledger_account& account,
                            std::int64_t wall_ms);

/**
 * @param own_rate Spending of this run, tokens/s.
 * @param prepaid Total of the customer, which stands for its demand before any
 *        use.
 * @param vms Number of VMs among which the demand is divided.
 * @return Rate in tokens/s at which this run may have to serve the customer:
 *         its own, or a part of the fleet's if that is more.
 */
double expected_rate(const ledger_account& account, double own_rate,
                     token_count prepaid, std::size_t vms);

} // namespace rosemarydeck
