/** @file bill_type.hpp Usage, bills and their batches. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/priority_type.hpp"

#include <vector>

namespace rosemarydeck
{

/** Tokens that a backend server reports for one answer. */
struct token_usage
{
    token_count prompt = 0;
    token_count completion = 0;

    /** @return All tokens of the answer. */
    [[nodiscard]] token_count total() const { return prompt + completion; }
    bool operator==(const token_usage&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(token_usage);

/** How long an answer took. */
struct answer_timing
{
    std::int64_t first_token_ms = 0;
    std::int64_t whole_answer_ms = 0;

    bool operator==(const answer_timing&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(answer_timing);

/** The one bill of one request; its identity is customer and key. */
struct bill
{
    customer_id customer;
    idempotency_key key;
    target_id target;
    priority rank = priority::standard;
    token_usage usage;
    token_count charged = 0;  ///< Taken off the budget before any refund.
    token_count refunded = 0; ///< Given back because the answer was late.
    answer_timing timing;
    std::int64_t at_us = 0; ///< Microseconds since the Unix epoch.
    instance_id holder;     ///< Whose grant it is charged to.
    /** Takes back the charge of an equal bill: the key was billed twice. */
    bool reversal = false;

    /** @return What the request costs the customer in the end. */
    [[nodiscard]] token_count net() const
    {
        return reversal ? refunded - charged : charged - refunded;
    }
    bool operator==(const bill&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(bill);

/** Bills written to the platform as one object. */
struct bill_batch
{
    std::vector<bill> bills;

    bool operator==(const bill_batch&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(bill_batch);

/** @return The batch in a JSON text; an empty one if it is malformed. */
bill_batch parse_bill_batch(const std::string& text);

inline const std::string bill_object_prefix = "bills/";

} // namespace rosemarydeck
