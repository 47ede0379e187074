/** @file request_json_func.cpp JSON encoding of bills. */
#include "request/bill_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(token_usage, prompt, completion)

ROSEMARYDECK_JSON(answer_timing, first_token_ms, whole_answer_ms)

ROSEMARYDECK_JSON(bill, customer, key, target, rank, usage, charged, refunded,
                  timing, at_us, holder, reversal)

ROSEMARYDECK_JSON(bill_batch, bills)

} // namespace rosemarydeck
