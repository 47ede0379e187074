/** @file charge_func.hpp Charges and refunds of answers. */
#pragma once

#include "config/config_type.hpp"
#include "request/bill_type.hpp"

namespace rosemarydeck
{

/**
 * Computes the charge, which is the reported usage limited to the reservation,
 * and the refund for an answer that is later than its targets.
 * @param draft A bill with usage and timing filled in.
 * @param reserved Tokens reserved for the request.
 * @param target Latency targets and refund that the customer's plan sets for
 *        the request's priority.
 * @return The bill with charged and refunded filled in.
 */
bill price_bill(bill draft, token_count reserved, const latency_target& target);

} // namespace rosemarydeck
