/** @file ledger_cmd.hpp Commands on the ledger value, and its queries. */
#pragma once

#include "ledger/ledger_type.hpp"
#include "ledger/wallet_base.hpp"

#include <deque>
#include <optional>
#include <set>

namespace rosemarydeck
{

/** How budgets are divided. */
struct ledger_policy
{
    double cover_seconds = 10; ///< Spending that headroom outlasts.
    /** Headroom is at most so many times what is wanted: a run that ends after
     *  a long silence is charged all of it. */
    double spread_limit = 2.5;
    /** Until a customer's traffic has been seen so long, the bound gives way:
     *  its rate is not known. */
    double history_seconds = 8;
    double burst_seconds = 2;   ///< Spending that is open at once.
    double open_largest = 1.0;  ///< Largest requests open besides.
    double slope_factor = 1.5;  ///< Opening against the rate.
    double spread_share = 0.85; ///< Of what is left, divided by demand.
    /** Least number of VMs that a customer's unknown demand is divided by. */
    std::size_t min_vms = 1;
    token_count request = 9'000; ///< A usual one, where none has been seen.
};

/** One write of this run's that the ledger has taken. */
struct own_write
{
    std::uint64_t turn = 0;
    std::int64_t boot_ms = 0; ///< Of the VM, when it was sent.
};

/** One VM's wish for its part of every budget. */
struct ledger_renewal
{
    instance_id self;
    ledger_member member; ///< With the VM's clocks as they are now.
    std::map<customer_id, wallet_usage> usage;
    std::map<customer_id, token_count> prepaid; ///< From the configuration.
    std::set<instance_id> silent; ///< Runs that have long stopped writing.
    std::deque<own_write> own_writes;
    ledger_policy policy;
};

/** A run that a renewal closes. */
struct run_closing
{
    instance_id run;
    std::optional<duration>
        time_since_write;     ///< None if it is charged its grants.
    token_count reported = 0; ///< Spent and held by its last write.
    token_count charged = 0;  ///< Beyond what it reported.

    bool operator==(const run_closing&) const = default;
};

/** A ledger to be written. */
struct renewed_ledger
{
    ledger next;
    std::vector<run_closing> closings;
};

/**
 * Gives a VM its part of every budget: what it has spent, and headroom by its
 * part of all demand. Closes runs that are over at what they can have spent
 * by the time that they were gone.
 */
renewed_ledger renew(const ledger& now, const ledger_renewal& wish);

/**
 * @param run A run that a newer one of its VM has replaced.
 * @return Longest time that can lie between the run's last write and its end:
 *         by the VM's own clock if it has not been restarted, by the caller's
 *         clock if it wrote before the run did, or by the time of day on more
 *         than half of the VMs, two at least; none if there is no such evidence
 * yet.
 */
std::optional<duration> longest_silence(const ledger& now,
                                        const ledger_renewal& wish,
                                        const instance_id& run);

/** Ends a run: its charges are closed and its headroom returns. */
ledger close_run(const ledger& now, const instance_id& self,
                 const std::map<customer_id, token_count>& spent);

/** @return True if runs wait for evidence of what they have spent. */
bool has_ended_runs(const ledger& now);

/** @return Tokens of a budget that are charged for good: by runs that are
 *  over, and as used by those that run. It never shrinks. */
token_count consumed(const ledger& now, const customer_id& customer);

} // namespace rosemarydeck
