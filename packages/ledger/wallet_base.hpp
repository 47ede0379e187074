/** @file wallet_base.hpp Local reservations against this run's grants. */
#pragma once

#include "common/time_type.hpp"
#include "ledger/ledger_type.hpp"

#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace rosemarydeck
{

/** A customer's use of the wallet. */
struct wallet_usage
{
    token_count spent = 0; ///< Settled charges, and lent tokens.
    /** Part of spent that is lent to other VMs and not reported as used. */
    token_count lent = 0;
    token_count reserved = 0; ///< Tokens reserved for open requests.
    /** Largest recent request, accepted or refused; decays with each sample. */
    token_count max_reservation = 0;
    /** Tokens of the requests that wait for headroom, or the largest request
     *  refused since the last sample if that is more. */
    token_count unmet_demand = 0;
    double rate = 0;      ///< Spent tokens per second; follows a rise quickly.
    double mean_rate = 0; ///< The same, averaged over some seconds.

    bool operator==(const wallet_usage&) const = default;
};

/** Share of a ledger write and what is needed to apply it to the wallet. */
struct wallet_terms
{
    ledger_share share;
    time_point sent{}; ///< When the write was sent.
    /** Part of the wallet's totals that is charged already and does not count
     *  against the share. */
    token_count offset = 0;
};

/**
 * Local side of the ledger. Reserves the maximum size of a request and settles
 * it with the tokens delivered. Spent and reserved tokens together never exceed
 * the limit of any write that may be in force, that is, of any of the terms.
 * Used by the traffic thread and the control thread.
 */
class wallet
{
public:
    /** Reserves tokens for a request. @return False if headroom is short. */
    bool reserve(const customer_id& customer, token_count tokens,
                 time_point now);
    /** Ends a reservation. @param used Tokens to charge, capped at reserved. */
    void settle(const customer_id& customer, token_count reserved,
                token_count used);

    /**
     * Charges tokens for use by another VM. Lends at most a part of the
     * headroom, or @p min_tokens if that is more. Without a waiting request the
     * part is smaller, since other VMs will request credit too.
     * @param min_tokens Needed by a waiting request; 0 if none waits.
     * @param wanted_tokens Preferred amount.
     * @return Tokens lent; 0 if headroom is below @p min_tokens.
     */
    token_count lend(const customer_id& customer, token_count min_tokens,
                     token_count wanted_tokens, time_point now);
    /** Adds a request to those that wait for headroom. The next sample counts
     *  all of them, so that one renewal serves a whole burst. */
    void begin_wait(const customer_id& customer, token_count tokens);
    /** Removes a request that begin_wait() added. */
    void end_wait(const customer_id& customer, token_count tokens);
    /** @return Tokens of the requests that wait for headroom. */
    [[nodiscard]] token_count waiting(const customer_id& customer) const;
    /** Records tokens that another VM's waiting requests lack. */
    void record_unmet(const customer_id& customer, token_count tokens);
    /** Records that other VMs have used lent tokens. */
    void record_credit_usage(const customer_id& customer, token_count tokens);
    /** Updates the smoothed rate, decays max_reservation and resets
     *  unmet_demand.
     *  @return The customer's usage before the decay and the reset. */
    wallet_usage sample_usage(const customer_id& customer, time_point now);
    /** Adds terms for a share that is about to be written.
     *  @param terms Its share is raised to include tokens reserved since
     *  sample_usage(). */
    void add_terms(const customer_id& customer, wallet_terms& terms);
    /** Replaces all terms by those of the share that the ledger holds. */
    void replace_terms(const customer_id& customer, const wallet_terms& terms);
    /** Removes all terms after another run has closed this run's shares.
     *  @return Tokens spent and reserved so far; the other run has charged
     *  them. */
    token_count reset_terms(const customer_id& customer);
    /** @return Tokens that can still be reserved. */
    [[nodiscard]] token_count headroom(const customer_id& customer,
                                       time_point now) const;
    /** @return Time since the write was sent whose grant is in force; none
     *  without a grant. */
    [[nodiscard]] std::optional<duration>
    time_since_grant(const customer_id& customer, time_point now) const;
    /** @return Time until so many tokens can be reserved if nothing else is
     *  and no other grant comes; none if that takes longer than @p max. */
    [[nodiscard]] std::optional<duration>
    time_until_headroom(const customer_id& customer, token_count tokens,
                        time_point now, duration max) const;
    /** Records that requests for @p tokens or more cannot be covered.
     *  @param until Earliest time at which a retry may succeed. */
    void record_shortage(const customer_id& customer, token_count tokens,
                         time_point until);
    /** @return False while a recorded shortage rules out @p tokens. */
    [[nodiscard]] bool may_obtain(const customer_id& customer,
                                  token_count tokens, time_point now) const;
    /** Records the fleet's total consumption; lower values are ignored. */
    void record_consumed(const customer_id& customer, token_count tokens);
    /** @return Maximum given to record_consumed(); 0 if none. */
    [[nodiscard]] token_count consumed(const customer_id& customer) const;

private:
    struct entry
    {
        wallet_usage usage;
        std::vector<wallet_terms> terms; ///< The lowest limit applies.
        token_count waiting = 0;         ///< Tokens of waiting requests.
        token_count consumed = 0;        ///< Used by the whole fleet.
        token_count shortage_tokens = 0; ///< Unavailable until shortage_until.
        time_point shortage_until{};
        token_count rate_sample_spent = 0;
        time_point rate_sample_at{};
        time_point rate_since{}; ///< Time of the first rate sample.

        [[nodiscard]] token_count limit(time_point now) const;
    };

    static void update_mean_rate(entry& known, double rate, time_point now);

    mutable std::mutex mutex_;
    std::map<customer_id, entry> entries_;
};

} // namespace rosemarydeck
