/** @file wallet_base.hpp What this VM may spend for each customer. */
#pragma once

#include "common/id_type.hpp"
#include "common/time_type.hpp"

#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace rosemarydeck
{

/** What the wallet has done for one customer. */
struct wallet_usage
{
    token_count granted = 0;
    token_count spent = 0;    ///< Settled charges.
    token_count reserved = 0; ///< Held for requests in flight.
    token_count largest = 0;  ///< Largest reservation of late.
    token_count missing = 0;  ///< Asked for and not covered, since last read.
    double rate = 0;          ///< Settled tokens per second, smoothed.

    bool operator==(const wallet_usage&) const = default;
};

/**
 * Local side of the ledger: reservations at a request's largest size, settled
 * by what was delivered. Never lets spent and reserved exceed the granted
 * amount. Used by the traffic threads and the control thread.
 */
class wallet
{
public:
    /** Holds tokens for a request. @return False if they aren't there. */
    bool reserve(const customer_id& customer, token_count tokens);
    /** Ends a reservation. @param used Of it, at most the reserved amount. */
    void settle(const customer_id& customer, token_count reserved,
                token_count used);

    /** @return Usage of each customer seen. Clears what was missing. */
    std::map<customer_id, wallet_usage> read(time_point now);
    /** Lowers a grant before a smaller one is written to the ledger.
     *  @return The grant now in force; never below spent and reserved. */
    token_count lower(const customer_id& customer, token_count granted);
    /** Takes over a grant that the ledger holds. */
    void confirm(const customer_id& customer, token_count granted);
    /** Notes what the ledger shows as unspent by anyone. */
    void note_rest(const customer_id& customer, token_count tokens);
    /** @return What note_rest() last said; unlimited before. */
    [[nodiscard]] token_count rest(const customer_id& customer) const;
    /** @return Tokens that may still be reserved. */
    [[nodiscard]] token_count headroom(const customer_id& customer) const;

private:
    struct entry
    {
        wallet_usage usage;
        token_count rest = std::numeric_limits<token_count>::max();
        token_count rated_spent = 0;
        time_point rated_at{};
    };

    mutable std::mutex mutex_;
    std::map<customer_id, entry> purses_;
};

} // namespace rosemarydeck
