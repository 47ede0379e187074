/** @file budget_tail_base.hpp Which requests the last of a budget serves. */
#pragma once

#include "common/id_type.hpp"

#include <map>

namespace rosemarydeck
{

/** What decides whether the last of a budget serves a request. */
struct tail_request
{
    token_count charge = 0; ///< The most that it may be charged.
    int priority = 0;       ///< Rank of its route or customer; 0 is first.

    bool operator==(const tail_request&) const = default;
};

/** How much of a budget is left. */
struct budget_level
{
    token_count prepaid = 0;
    token_count left = 0; ///< Not consumed by the fleet as far as is known.

    bool operator==(const budget_level&) const = default;
};

/**
 * Keeps the last of each customer's budget for requests that are small or
 * urgent among its own: a large one takes what would serve many of them. While
 * more is left, and for customers whose requests are all alike, every request
 * is served. Used by the traffic thread.
 */
class budget_tail
{
public:
    /** Records a request that a client sent. */
    void record(const customer_id& customer, const tail_request& request);

    /** @return True if the request may be served with what is left. */
    [[nodiscard]] bool admits(const customer_id& customer,
                              const tail_request& request,
                              const budget_level& level) const;

private:
    /** Moving means over a customer's requests, of their charges in tokens. */
    struct profile
    {
        double charge = 0; ///< Of all requests.
        double small = 0;  ///< Of those up to the mean of all.
        double least = 0;  ///< Of those up to the mean of the small ones.
        double priority = 0;
    };

    std::map<customer_id, profile> profiles_;
};

} // namespace rosemarydeck
