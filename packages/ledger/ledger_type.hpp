/** @file ledger_type.hpp The fleet's account of prepaid tokens. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"

#include <map>
#include <string>

namespace rosemarydeck
{

/** What one run of a daemon may spend for one customer, and has. */
struct ledger_share
{
    token_count granted = 0; ///< Upper bound of all it will ever spend.
    token_count spent = 0;   ///< As it last reported.
    token_count wanted = 0;  ///< Headroom that its own traffic asks for.

    bool operator==(const ledger_share&) const = default;
};

/** One customer's account. */
struct ledger_account
{
    token_count closed = 0; ///< Charged by runs that are over.
    std::map<instance_id, ledger_share> shares;

    bool operator==(const ledger_account&) const = default;
};

/** One run of a daemon that takes part. */
struct ledger_member
{
    vm_id vm;
    std::string address;    ///< IP:PORT where other VMs reach it.
    std::uint64_t beat = 0; ///< Grows with each of its writes.

    bool operator==(const ledger_member&) const = default;
};

/**
 * The shared object in the platform's store. Only conditional writes change
 * it, so for each customer the granted amounts and closed charges never add up
 * to more than the prepaid total that a writer knew.
 */
struct ledger
{
    std::map<instance_id, ledger_member> members;
    std::map<customer_id, ledger_account> accounts;

    bool operator==(const ledger&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(ledger_share);
ROSEMARYDECK_JSON_DECLARE(ledger_account);
ROSEMARYDECK_JSON_DECLARE(ledger_member);
ROSEMARYDECK_JSON_DECLARE(ledger);

} // namespace rosemarydeck
