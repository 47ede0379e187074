/** @file ledger_cmd.hpp Commands and queries on a ledger value. */
#pragma once

#include "ledger/ledger_type.hpp"
#include "ledger/wallet_base.hpp"

#include <deque>
#include <optional>
#include <set>

namespace rosemarydeck
{

/** Parameters for dividing a budget among runs. */
struct ledger_policy
{
    double cover_seconds = 10; ///< Seconds of spending that headroom covers.
    /** Max. ratio of headroom to wanted headroom. A run that ends long after
     *  its last write is charged all of its headroom. */
    double max_headroom_factor = 2.5;
    /** Traffic history needed to know a customer's spending rate. Until then,
     *  max_headroom_factor is relaxed. */
    double history_seconds = 8;
    double burst_seconds = 2;    ///< Seconds of spending available at once.
    double burst_requests = 1.0; ///< Largest reservations available on top.
    double slope_factor = 1.5;   ///< Ratio of a share's slope to the rate.
    /** Fraction of the remaining budget that is divided by demand. */
    double distributed_fraction = 0.85;
    /** Min. number of VMs assumed for equal parts of a budget. */
    std::size_t min_vms = 1;
    /** Size of a request, assumed where none has been seen. */
    token_count typical_request = 9'000;
};

/** A write of this run that the store has accepted. */
struct own_write
{
    std::uint64_t turn = 0;   ///< Turn that the write gave the ledger.
    std::int64_t boot_ms = 0; ///< Time since the VM booted, at sending.
};

/** Input for renewing one run's shares of all budgets of a shard. */
struct ledger_renewal
{
    instance_id self;
    ledger_member member; ///< Holds the VM's current clock readings.
    std::map<customer_id, wallet_usage> usage;
    /** Prepaid totals in the configuration. */
    std::map<customer_id, token_count> prepaid;
    /** Runs without a write for longer than the liveness timeout. */
    std::set<instance_id> expired;
    std::deque<own_write> own_writes; ///< Oldest first.
    ledger_policy policy;
};

/** Record of an ended run that a renewal has charged. */
struct run_closing
{
    instance_id run;
    /** Max. time from the run's last write to its end; none if unknown, in
     *  which case its full grants are charged. */
    std::optional<duration> time_since_write;
    token_count reported = 0; ///< Spent and held as of its last write.
    token_count charged = 0;  ///< Charged on top of reported.

    bool operator==(const run_closing&) const = default;
};

/** A ledger to be written, and the runs that it charges and closes. */
struct renewed_ledger
{
    ledger next;
    std::vector<run_closing> closings;
};

/**
 * Renews a run's share of every budget: what it has spent, plus headroom in
 * proportion to its part of the total demand. Charges and closes ended runs at
 * the maximum that they can have spent before their end.
 */
renewed_ledger renew(const ledger& now, const ledger_renewal& renewal);

/**
 * Bounds the time from an ended run's last write to its end. Uses the first
 * that applies: the VM's boot clock, if the caller is on the same VM and it has
 * not rebooted; the caller's boot clock, if the caller wrote before the run's
 * last write; the median wall-clock span of more than half of the VMs, at least
 * two.
 * @param run A run that a newer run on its VM has replaced.
 * @return The bound; none if no clock gives one yet.
 */
std::optional<duration> max_unreported_time(const ledger& now,
                                            const ledger_renewal& renewal,
                                            const instance_id& run);

/**
 * Closes the caller's own run: charges what it spent and returns its headroom.
 * @param spent Total by customer; a customer without one is charged the grant.
 */
ledger close_run(const ledger& now, const instance_id& self,
                 const std::map<customer_id, token_count>& spent);

/** @return True if a run that was replaced on its VM is not yet charged. */
bool has_ended_runs(const ledger& now);

/** @return Tokens of a budget charged for good: closed charges of ended runs
 *  and tokens used as reported by live runs. Never decreases. */
token_count consumed(const ledger& now, const customer_id& customer);

} // namespace rosemarydeck
