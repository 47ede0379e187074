/** @file credit_type.hpp Messages by which VMs lend each other tokens. */
#pragma once

#include "common/id_type.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace rosemarydeck
{

/** Requests tokens of a customer's budget from another VM. */
struct credit_request
{
    std::uint64_t number = 0; ///< Request id, repeated in the reply.
    customer_id customer;
    token_count min_tokens = 0;    ///< Smaller replies are of no use.
    token_count wanted_tokens = 0; ///< Preferred amount.

    bool operator==(const credit_request&) const = default;
};

/** Reply to a credit_request. The lender has recorded the tokens as spent in
 *  the ledger, so the receiver may use them without further coordination. */
struct credit_reply
{
    std::uint64_t number = 0; ///< Request id of the credit_request.
    customer_id customer;
    token_count tokens = 0; ///< Tokens lent; 0 if the lender has too few.
    /** Total consumed by the fleet, as known to the lender. */
    token_count consumed = 0;

    bool operator==(const credit_reply&) const = default;
};

/** Returns unused credit to the home VM. */
struct credit_return
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_return&) const = default;
};

/** Reports credit that requests have used. */
struct credit_usage
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_usage&) const = default;
};

/** Any message on a credit connection between two VMs. */
using credit_message =
    std::variant<credit_request, credit_reply, credit_return, credit_usage>;

/** A VM of the fleet and the address at which other VMs reach it. */
struct fleet_vm
{
    vm_id vm;
    dc_id data_centre;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    double cores = 1; ///< Processor time limit, in cores.

    bool operator==(const fleet_vm&) const = default;
};

} // namespace rosemarydeck
