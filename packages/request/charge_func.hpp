/** @file charge_func.hpp Charges and refunds of answers. */
#pragma once

#include "config/config_type.hpp"
#include "request/bill_type.hpp"

namespace rosemarydeck
{

/**
 * Computes the charge, which is the reported usage limited to the reservation,
 * and the refund that the customer's plan sets for a late answer.
 * @param draft A bill with usage and timing filled in.
 * @param reserved Tokens reserved for the request.
 * @param target Latency targets of the request's priority.
 * @return The bill with charged and refunded filled in.
 */
bill price_bill(bill draft, token_count reserved, const latency_target& target);

} // namespace rosemarydeck
