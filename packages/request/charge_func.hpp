/** @file charge_func.hpp What an answer costs and what is refunded. */
#pragma once

#include "config/config_type.hpp"
#include "request/bill_type.hpp"

namespace rosemarydeck
{

/**
 * Computes the charge: the reported usage, at most what was reserved, and
 * the refund that the plan names for a late answer.
 * @param draft A bill with usage and timing filled in.
 * @param reserved Tokens that the request had reserved.
 * @param target The targets of the request's priority.
 * @return The bill with charged and refunded filled in.
 */
bill price_bill(bill draft, token_count reserved, const latency_target& target);

} // namespace rosemarydeck
