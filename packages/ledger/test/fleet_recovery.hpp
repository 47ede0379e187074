/** @file fleet_recovery.hpp A fleet that dies as a whole and starts again. */
#pragma once

#include "ledger/ledger_layout_func.hpp"
#include "ledger/ledger_writer_base.hpp"

#include <memory>
#include <random>

namespace rosemarydeck
{

/** A fault of all VMs, and what comes before and after it. */
struct fleet_fault
{
    std::uint32_t seed = 1;
    std::size_t vms = 8;
    /** Prepaid total as a multiple of what clients ask for until the fault. */
    double prepaid_factor = 1.3;
    std::chrono::milliseconds at{30'000};
    /** Time of demand from which the prepaid total is taken; 0: until the
     *  fault. */
    std::chrono::milliseconds day{0};
    std::chrono::milliseconds dark{1'200}; ///< From the fault to the starts.
    bool power = true;                     ///< The VMs boot anew.
    /** Number of VMs, the first ones, that can't reach the store before the
     *  fault, and for how long. */
    std::size_t cut_before = 0;
    std::chrono::milliseconds cut_before_for{0};
    /** The same after the starts. */
    std::size_t cut_after = 0;
    std::chrono::milliseconds cut_after_for{0};
    /** Number of VMs, the last ones, whose wall clock is set by so much while
     *  the VMs are dark. */
    std::size_t clocks_off = 0;
    std::chrono::milliseconds clock_step{0};
};

/** Sums over all customers, in tokens. */
struct recovery_outcome
{
    token_count prepaid = 0;
    token_count used = 0;    ///< By requests, open ones with their prompt.
    token_count in_vain = 0; ///< Charged or held without use, 12 s later.
    /** Charged less than what may have been used, or used beyond prepaid. */
    token_count overspent = 0;
    token_count requested = 0; ///< By requests until the fault.
    token_count refused = 0;   ///< Of these, refused twice.
    /** Of the requests that came while VMs could not reach the store. */
    token_count cut_requested = 0;
    token_count cut_refused = 0;
    double demand_per_s = 0; ///< Mean of the tokens that clients ask for.
};

/**
 * VMs that serve customers of different sizes from one ledger shard, with the
 * policy of a small fleet. Requests arrive at random, wait for headroom and are
 * retried once at another VM. The store accepts each write at once.
 */
class fleet_recovery
{
public:
    explicit fleet_recovery(const fleet_fault& fault);

    /** Plays the time before the fault, the fault and 12 s after the starts. */
    recovery_outcome play();

private:
    using milliseconds = std::chrono::milliseconds;

    struct request
    {
        std::size_t customer = 0;
        token_count charge = 0; ///< Its most.
        token_count input = 0;
        token_count used = 0;  ///< Once it has ended.
        milliseconds lasts{0}; ///< From its admission to its end.
        milliseconds until{0}; ///< End of its wait, or of the request.
        bool retried = false;
        bool in_cut = false; ///< Came while VMs could not reach the store.
    };
    struct vm
    {
        std::size_t number = 0;
        std::int64_t boot_at = 0;   ///< Zero of its boot clock.
        std::int64_t wall_step = 0; ///< Error of its wall clock.
        int runs = 0;
        std::unique_ptr<wallet> local_wallet;
        std::unique_ptr<ledger_writer> writer;
        std::vector<request> waiting;
        std::vector<request> open;
        milliseconds next_renewal{0};
        milliseconds last_renewal{-1'000};
        milliseconds started{0};
    };

    void start(vm& one);
    void step_before_fault();
    void arrive();
    void admit(vm& one);
    void end_requests(vm& one);
    void renew_if_due(vm& one, bool evidence);
    void renew(vm& one);
    void kill_all();
    [[nodiscard]] bool reaches_store(const vm& one) const;
    [[nodiscard]] bool in_cut() const;
    void refuse(const request& made);
    [[nodiscard]] clock_reading clock(const vm& one) const;
    [[nodiscard]] recovery_outcome result() const;
    [[nodiscard]] double uniform(double from, double to);

    fleet_fault fault_;
    ledger_plan plan_;
    std::mt19937 random_;
    milliseconds now_{0};
    bool dead_ = false;
    std::vector<vm> vms_;
    std::vector<customer_id> customers_;
    std::map<customer_id, token_count> prepaid_;
    std::map<customer_id, token_count> used_;      ///< Surely used.
    std::map<customer_id, token_count> used_most_; ///< Possibly used.
    std::vector<double> weights_;
    ledger stored_;
    std::uint64_t revision_ = 0;
    recovery_outcome outcome_;
};

} // namespace rosemarydeck
