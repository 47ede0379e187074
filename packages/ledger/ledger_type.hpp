/** @file ledger_type.hpp The fleet's account of prepaid tokens. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemarydeck
{

/**
 * What one run of a daemon may spend for one customer, and has. The grant
 * opens with the time since the write that holds it was sent: while the store
 * answers, a run spends little beyond what it reports, so little is lost with
 * it; a run that is cut off gets at the whole grant.
 */
struct ledger_share
{
    token_count granted = 0; ///< Bound of all that the run will ever spend.
    token_count spent = 0;   ///< As the run reported.
    token_count held = 0;    ///< Reserved for requests in flight at that time.
    token_count open = 0;    ///< May be spent at once beyond these.
    token_count slope = 0;   ///< Opens with each second after the report.
    token_count wanted = 0;  ///< Headroom that the run's traffic asks for.
    /** Of what is spent, given to other VMs and not yet reported as used. */
    token_count lent = 0;

    bool operator==(const ledger_share&) const = default;
};

/** One customer's account. */
struct ledger_account
{
    token_count closed = 0; ///< Charged by runs that are over.
    std::map<instance_id, ledger_share> shares;

    bool operator==(const ledger_account&) const = default;
};

/** One of a run's earlier writes. */
struct ledger_mark
{
    std::uint64_t turn = 0;
    std::int64_t wall_ms = 0; ///< Unix time at the write.

    bool operator==(const ledger_mark&) const = default;
};

/** One run of a daemon that takes part, as of its last write. */
struct ledger_member
{
    vm_id vm;
    std::uint64_t beat = 0;         ///< Its writes so far.
    std::uint64_t turn = 0;         ///< The ledger's turn of its last write.
    std::uint64_t first_turn = 0;   ///< The ledger's turn of its first write.
    std::int64_t wall_ms = 0;       ///< Unix time at its last write.
    std::int64_t boot_ms = 0;       ///< Time since the VM's start, suspensions
                                    ///< included, at its last write.
    std::string boot;               ///< Names that start of the VM.
    std::vector<ledger_mark> marks; ///< Its last writes, newest last.
    bool closed = false; ///< Over and charged; kept as a witness for others.

    bool operator==(const ledger_member&) const = default;
};

/**
 * Into how many ledgers the customers are divided. Written once by the first
 * VM and never changed, since VMs that disagreed on it would grant a budget
 * twice.
 */
struct ledger_layout
{
    std::uint32_t parts = 1;

    bool operator==(const ledger_layout&) const = default;
};

/**
 * A shared object in the platform's store, with the accounts of some
 * customers and the runs that have drawn on them. Only conditional writes
 * change it, so for each customer the granted amounts and closed charges never
 * add up to more than the prepaid total that a writer knew.
 */
struct ledger
{
    std::uint64_t turn = 0; ///< Grows by one with each write.
    std::map<instance_id, ledger_member> members;
    std::map<customer_id, ledger_account> accounts;

    bool operator==(const ledger&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(ledger_share);
ROSEMARYDECK_JSON_DECLARE(ledger_account);
ROSEMARYDECK_JSON_DECLARE(ledger_mark);
ROSEMARYDECK_JSON_DECLARE(ledger_member);
ROSEMARYDECK_JSON_DECLARE(ledger_layout);
ROSEMARYDECK_JSON_DECLARE(ledger);

} // namespace rosemarydeck
