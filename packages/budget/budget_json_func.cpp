/** @file budget_json_func.cpp JSON conversion of this package's types. */
#include "budget/account_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(grant_entry, holder, data_centre, amount, solo, used_total,
                  sequence, last_extra)

ROSEMARYDECK_JSON(adopted_grant, lost, heir)

ROSEMARYDECK_JSON(account, customer, prepaid, plan_version, settled, unproven,
                  grants, adopted)

} // namespace rosemarydeck
