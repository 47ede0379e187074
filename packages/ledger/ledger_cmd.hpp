/** @file ledger_cmd.hpp Commands and queries on a ledger value. */
#pragma once

#include "ledger/ledger_type.hpp"
#include "ledger/wallet_base.hpp"

#include <deque>
#include <optional>
#include <set>

namespace rosemarydeck
{

/**
 * What a run may spend beyond what it has reported. All of it may be charged in
 * vain when the run ends, and all of it is what a run lives on that can't reach
 * the store.
 */
struct spending_slack
{
    /** Most that is available at once, and its growth per second, as fractions
     *  of the run's part of what is left of the budget. */
    double max_burst_fraction = 0;
    double max_slope_fraction = 0;
    /** Ratio of the growth per second to the run's expected spending rate. */
    double slope_factor = 0;
    /** Seconds of expected spending for which headroom lasts without the store
     *  once it no longer grows by the slope. */
    double outage_seconds = 0;
};

/** Parameters for dividing a budget among runs. */
struct ledger_policy
{
    double cover_seconds = 10; ///< Seconds of spending that a run asks for.
    double burst_seconds = 2;  ///< Seconds of spending available at once.
    /** Multiple of the largest reservation, available at once in addition. */
    double burst_requests = 1.0;
    /** Slack while at least full_level of the prepaid total is left. */
    spending_slack full{.max_burst_fraction = 0.04,
                        .max_slope_fraction = 0.1,
                        .slope_factor = 1.1,
                        .outage_seconds = 5};
    double full_level = 0.9;
    /** Slack from low_level downwards. What a fault of all VMs may cost has to
     *  be little of what is left. */
    spending_slack low{.max_burst_fraction = 0.01,
                       .max_slope_fraction = 0.013,
                       .slope_factor = 1.1,
                       .outage_seconds = 4.5};
    double low_level = 0.5;
    /** Fraction of the remaining budget that is granted in proportion to the
     *  runs' demand. */
    double distributed_fraction = 0.85;
    /** Minimum number of VMs among which a budget is assumed to be divided. */
    std::size_t min_vms = 1;
    /** Assumed size of a request unless a larger one has been seen. */
    token_count typical_request = 9'000;
};

/** A write of this run that the store has accepted. */
struct own_write
{
    std::uint64_t turn = 0; ///< Turn that the write gave the ledger.
    /** Time since the VM booted when the write was sent. */
    std::int64_t boot_ms = 0;
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

/** Clock that bounds when a run ended. */
enum class end_clock
{
    none,     ///< No clock does; the run's grants are charged in full.
    own_vm,   ///< The boot clock of the run's VM.
    caller,   ///< The boot clock of the VM that charges the run.
    majority, ///< The wall clocks of more than half of the VMs.
};

/** Bound on the time from a run's last write to its end. */
struct run_end
{
    duration time_since_write{};
    end_clock clock = end_clock::none;

    bool operator==(const run_end&) const = default;
};

/** What an ended run is charged for one customer. */
struct run_charge
{
    customer_id customer;
    ledger_share share;     ///< As of the run's last write.
    token_count charge = 0; ///< Total, including what the share reports.

    bool operator==(const run_charge&) const = default;
};

/** An ended run that is not charged yet. */
struct open_run
{
    instance_id run;
    token_count held = 0; ///< Granted beyond what it has reported as spent.

    bool operator==(const open_run&) const = default;
};

/** Record of an ended run that a renewal has charged. */
struct run_closing
{
    instance_id run;
    /** Maximum time from the run's last write to its end; none if unknown, in
     *  which case its full grants are charged. */
    std::optional<duration> time_since_write;
    token_count reported = 0; ///< Spent and reserved as of its last write.
    token_count charged = 0;  ///< Charged on top of reported.
    end_clock clock = end_clock::none; ///< Clock that bounds its end.
    std::vector<run_charge> charges;   ///< By customer.

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
 * proportion to its part of the total demand. Charges ended runs the maximum
 * that they can have spent before their end, and closes them.
 */
renewed_ledger renew(const ledger& current, const ledger_renewal& renewal);

/**
 * Bounds the time from an ended run's last write to its end, which is before
 * the start of the run that replaced it. Uses the first that applies: the VM's
 * boot clock, if the caller is on the same VM and it has not rebooted; the
 * caller's boot clock, if the caller wrote before the run's last write; the
 * median wall-clock span of more than half of the VMs, at least two.
 * @return The bound; none if the run is closed or no newer run on its VM has
 *         replaced it, or if no clock gives a bound yet.
 */
std::optional<duration> max_time_since_write(const ledger& current,
                                             const ledger_renewal& renewal,
                                             const instance_id& run);

/** @return The same bound with the clock that gives it. */
std::optional<run_end> bound_run_end(const ledger& current,
                                     const ledger_renewal& renewal,
                                     const instance_id& run);

/**
 * Closes the caller's own run: charges what it spent and returns its headroom.
 * @param spent Total by customer; of a customer without a total, the whole
 * grant is charged.
 */
ledger close_run(const ledger& current, const instance_id& self,
                 const std::map<customer_id, token_count>& spent);

/** @return True if a run that was replaced on its VM is not yet charged. */
bool has_ended_runs(const ledger& current);

/** @return Runs that were replaced on their VM and are not yet charged. */
std::vector<open_run> open_ended_runs(const ledger& current);

/** @return Name of a clock for logs. */
const char* name_of(end_clock clock);

/**
 * @return Tokens of a budget that count as used: the charges of closed runs,
 * and what the other runs have reported as spent, without lent tokens whose use
 * is not reported yet. Never decreases.
 */
token_count consumed(const ledger& current, const customer_id& customer);

} // namespace rosemarydeck
