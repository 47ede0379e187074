/** @file credit_home_func.hpp Which VMs hold a customer's budget. */
#pragma once

#include "credit/credit_type.hpp"

#include <vector>

namespace rosemarydeck
{

/**
 * Each data centre has one VM that draws on a customer's ledger for the
 * others there. All VMs that know of the same fleet agree on it without a
 * word, and one that comes or goes moves its own customers only. VMs with less
 * than half of the processor time of the largest in their data centre are left
 * to their traffic.
 * @param own Data centre of the VM that asks.
 * @return VMs to be asked: that of the own data centre, those of the others,
 *         and as the last the next in the own data centre.
 */
std::vector<fleet_vm> homes_of(const customer_id& customer, const dc_id& own,
                               const std::vector<fleet_vm>& fleet);

} // namespace rosemarydeck
