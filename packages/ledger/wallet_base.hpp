/** @file wallet_base.hpp What this VM may spend for each customer. */
#pragma once

#include "common/time_type.hpp"
#include "ledger/ledger_type.hpp"

#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace rosemarydeck
{

/** What the wallet has done for one customer. */
struct wallet_usage
{
    token_count spent = 0;    ///< Settled charges.
    token_count lent = 0;     ///< Of these, given away and not known as used.
    token_count reserved = 0; ///< Held for requests in flight.
    token_count largest = 0;  ///< Largest reservation of late.
    token_count missing = 0;  ///< Asked for and not covered, since last read.
    double rate = 0;          ///< Settled tokens per second, smoothed.
    double history = 0;       ///< Seconds since the first reservation.

    bool operator==(const wallet_usage&) const = default;
};

/** A share and when the write that holds it was sent. */
struct wallet_terms
{
    ledger_share share;
    time_point sent{};
    token_count offset = 0; ///< Spent before the share began to count.
};

/**
 * Local side of the ledger: reservations at a request's largest size, settled
 * by what was delivered. Never lets spent and reserved exceed what every write
 * that may be in force allows. Used by the traffic thread and the control
 * thread.
 */
class wallet
{
public:
    /** Holds tokens for a request. @return False if they aren't there. */
    bool reserve(const customer_id& customer, token_count tokens,
                 time_point now);
    /** Ends a reservation. @param used Of it, at most the reserved amount. */
    void settle(const customer_id& customer, token_count reserved,
                token_count used);

    /**
     * Charges tokens that another VM is to use. It gets a part of what is left
     * here, and a small one ahead of need, since others will ask too.
     * @param least Of use to one request that waits; 0 if none does.
     * @return Their amount; 0 if @p least aren't there.
     */
    token_count lend(const customer_id& customer, token_count min_amount,
                     token_count wish, time_point now);
    /** Notes that other VMs have used tokens that were taken. */
    void record_credit_usage(const customer_id& customer, token_count tokens);
    /** @return Usage of a customer. Clears what was missing. */
    wallet_usage read(const customer_id& customer, time_point now);
    /** Binds the wallet to a share that is about to be written, besides those
     *  that bind it already. The share takes in what has been reserved since
     *  the wallet was read. */
    void propose(const customer_id& customer, wallet_terms& terms);
    /** Binds the wallet to one share alone: the one that the ledger holds. */
    void confirm(const customer_id& customer, const wallet_terms& terms);
    /** Starts over after others have closed this run's shares as spent.
     *  @return What was spent and held by then, which they have charged. */
    token_count restart(const customer_id& customer);
    /** @return Tokens that may still be reserved. */
    [[nodiscard]] token_count headroom(const customer_id& customer,
                                       time_point now) const;
    /** Notes that so many tokens, or more, are asked for in vain.
     *  @param until Earliest time at which asking again may help. */
    void record_shortage(const customer_id& customer, token_count tokens,
                         time_point until);
    /** @return True if asking for so many tokens may help now. */
    [[nodiscard]] bool may_obtain(const customer_id& customer,
                                  token_count tokens, time_point now) const;
    /** Notes what the whole fleet has consumed; it never shrinks. */
    void record_consumed(const customer_id& customer, token_count tokens);
    /** @return The most that record_consumed() said; 0 before. */
    [[nodiscard]] token_count consumed(const customer_id& customer) const;

private:
    struct entry
    {
        wallet_usage usage;
        std::vector<wallet_terms> terms; ///< All of them bind.
        token_count consumed = 0;
        token_count short_of = 0; ///< Not there until short_until.
        time_point short_until{};
        time_point first_seen{};
        token_count rated_spent = 0;
        time_point rated_at{};

        [[nodiscard]] token_count limit(time_point now) const;
    };

    mutable std::mutex mutex_;
    std::map<customer_id, entry> entries_;
};

} // namespace rosemarydeck
