/** @file ledger_type.hpp Value types of a ledger shard of prepaid tokens. */
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
 * Grant of one daemon run for one customer, and the run's usage as of its last
 * write. The spendable part grows with the time since the write that holds the
 * share was sent (see share_limit()). While the store answers, a run spends
 * little beyond what it has reported, so little is lost if it crashes; a run
 * that cannot reach the store can use its whole grant.
 */
struct ledger_share
{
    token_count granted = 0; ///< Maximum total that the run may spend.
    token_count spent = 0;   ///< Total spent as of the last write.
    /** Tokens reserved for open requests as of the last write. */
    token_count reserved = 0;
    token_count burst = 0;  ///< Spendable at once beyond spent and reserved.
    token_count slope = 0;  ///< Growth of the spendable part, tokens/s.
    token_count wanted = 0; ///< Headroom that the run's traffic requires.
    /** Part of spent that is lent to other VMs and not reported as used. */
    token_count lent = 0;
    /** Mean spending of the run, tokens/s; 0 if unknown, as builds up to
     * e185cd8 drop it when they write. */
    token_count rate = 0;

    bool operator==(const ledger_share&) const = default;
};

/** Mean demand for a customer's budget on all VMs. Outlasts the runs that have
 *  measured it. Decides how much is granted, not what is charged. */
struct ledger_demand
{
    token_count per_s = 0;    ///< Tokens per second; 0 before any use.
    std::int64_t wall_ms = 0; ///< Unix time of the update.

    bool operator==(const ledger_demand&) const = default;
};

/** One customer's account in a ledger shard. */
struct ledger_account
{
    token_count closed = 0; ///< Total charged for runs that have ended.
    /** Unknown to builds up to e185cd8, which drop it when they write. */
    ledger_demand demand;
    std::map<instance_id, ledger_share> shares; ///< Shares of runs not closed.

    bool operator==(const ledger_account&) const = default;
};

/** Ledger turn and clock readings of an earlier write of a run. */
struct ledger_mark
{
    std::uint64_t turn = 0;   ///< Turn that the write gave the ledger.
    std::int64_t wall_ms = 0; ///< Unix time at the write.
    std::int64_t age_ms = 0;  ///< See ledger_member.

    bool operator==(const ledger_mark&) const = default;
};

/** A daemon run that uses the ledger, as of its last write. */
struct ledger_member
{
    vm_id vm;
    std::uint64_t beat = 0;       ///< Number of writes prepared by the run.
    std::uint64_t turn = 0;       ///< Turn that its last write gave the ledger.
    std::uint64_t first_turn = 0; ///< Turn that its first write gave it.
    std::int64_t wall_ms = 0;     ///< Unix time at its last write.
    std::int64_t boot_ms = 0;     ///< Time since the VM booted, including
                                  ///< suspension, at its last write.
    std::string boot;             ///< Identifier of that boot of the VM.
    /** Time since the run started, at its last write; 0 if unknown: builds
     *  up to 57b712b drop it when they write. The previous run on the VM had
     *  ended by that start. */
    std::int64_t age_ms = 0;
    std::vector<ledger_mark> marks; ///< Its previous writes, newest last.
    /** The run has ended and is charged. The entry is kept because its clock
     *  readings help to bound when other runs ended. */
    bool closed = false;

    bool operator==(const ledger_member&) const = default;
};

/**
 * Number of ledger shards into which the customers are divided. The first VM
 * writes it once and it never changes: VMs with different layouts would grant
 * the same budget twice.
 */
struct ledger_layout
{
    std::uint32_t parts = 1; ///< Number of shards.

    bool operator==(const ledger_layout&) const = default;
};

/**
 * One ledger shard: an object in the platform's store with the accounts of a
 * subset of the customers and the runs that have spent from them. Only
 * conditional writes change it, so for each customer the sum of grants and
 * closed charges never exceeds the prepaid total known to the writer, unless
 * that total was lowered after the grants were made.
 */
struct ledger
{
    std::uint64_t turn = 0; ///< Number of writes so far.
    std::map<instance_id, ledger_member> members;
    std::map<customer_id, ledger_account> accounts;

    bool operator==(const ledger&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(ledger_share);
ROSEMARYDECK_JSON_DECLARE(ledger_demand);
ROSEMARYDECK_JSON_DECLARE(ledger_account);
ROSEMARYDECK_JSON_DECLARE(ledger_mark);
ROSEMARYDECK_JSON_DECLARE(ledger_member);
ROSEMARYDECK_JSON_DECLARE(ledger_layout);
ROSEMARYDECK_JSON_DECLARE(ledger);

} // namespace rosemarydeck
