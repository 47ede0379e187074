/** @file bill_type.hpp Token usage, bills and batches of bills. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/priority_type.hpp"

#include <vector>

namespace rosemarydeck
{

/** Token usage of one answer, as the backend server reports it. */
struct token_usage
{
    token_count prompt = 0;     ///< Input tokens.
    token_count completion = 0; ///< Output tokens.

    /** @return Input and output tokens. */
    [[nodiscard]] token_count total() const { return prompt + completion; }
    bool operator==(const token_usage&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(token_usage);

/** Latency of one answer, from the arrival of its request. */
struct answer_timing
{
    std::int64_t first_token_ms = 0;  ///< Time to the first output token.
    std::int64_t whole_answer_ms = 0; ///< Time to the end of the answer.

    bool operator==(const answer_timing&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(answer_timing);

/** The bill of one request, identified by customer and key. */
struct bill
{
    customer_id customer;
    idempotency_key key;                ///< Idempotency key of the request.
    target_id target;                   ///< Model or service that answered.
    priority rank = priority::standard; ///< Priority of the request.
    token_usage usage;
    token_count charged = 0;  ///< Tokens charged, before the refund.
    token_count refunded = 0; ///< Tokens refunded for a late answer.
    answer_timing timing;
    std::int64_t at_us = 0; ///< End of the answer in Unix microseconds.
    instance_id holder;     ///< Instance whose grant the charge is taken from.
    /** True if this entry reverses the charge of the bill that it otherwise
     *  equals, because the key was billed twice. */
    bool reversal = false;

    /** @return Tokens that the customer pays; negative for a reversal. */
    [[nodiscard]] token_count net() const
    {
        return reversal ? refunded - charged : charged - refunded;
    }
    bool operator==(const bill&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(bill);

/** Bills that are written to the platform as one object. */
struct bill_batch
{
    std::vector<bill> bills;

    bool operator==(const bill_batch&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(bill_batch);

/** Parses the content of a bill object.
 *  @return The batch; empty if the JSON text is malformed. */
bill_batch parse_bill_batch(const std::string& text);

/** Start of the names of bill objects on the platform. */
inline const std::string bill_object_prefix = "bills/";

} // namespace rosemarydeck
