/** @file credit_type.hpp How VMs hand each other parts of budgets. */
#pragma once

#include "common/id_type.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace rosemarydeck
{

/** Asks for tokens of a customer's budget. */
struct credit_request
{
    std::uint64_t number = 0; ///< Repeated in the answer.
    customer_id customer;
    token_count min_amount = 0;    ///< Less than this is of no use.
    token_count wanted_tokens = 0; ///< This much would serve for a while.

    bool operator==(const credit_request&) const = default;
};

/** Answers an ask. The ledger has the tokens as spent by the giver, so
 *  whoever holds them may use them without a word to anyone. */
struct credit_reply
{
    std::uint64_t number = 0;
    customer_id customer;
    token_count tokens = 0; ///< 0 if the giver has too few.
    /** What the whole fleet has consumed, as the giver knows. */
    token_count consumed = 0;

    bool operator==(const credit_reply&) const = default;
};

/** Gives back what was not needed. */
struct credit_return
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_return&) const = default;
};

/** Reports tokens that requests have used. */
struct credit_usage
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_usage&) const = default;
};

/** What passes between two VMs. */
using credit_message =
    std::variant<credit_request, credit_reply, credit_return, credit_usage>;

/** A VM of the fleet, as it can be reached by others. */
struct fleet_vm
{
    vm_id vm;
    dc_id data_centre;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    double cores = 1; ///< Processor time that it may use.

    bool operator==(const fleet_vm&) const = default;
};

} // namespace rosemarydeck
