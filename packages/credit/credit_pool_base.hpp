/** @file credit_pool_base.hpp Tokens that other VMs have given this one. */
#pragma once

#include "common/time_type.hpp"
#include "credit/credit_type.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarydeck
{

/** How much credit is held ahead of requests. */
struct credit_policy
{
    double cover_seconds = 5; ///< Spending that it is to outlast.
    duration rate_span = std::chrono::seconds(8); ///< Over which it is taken.
    /** Credit that was not used for so long goes back. */
    duration max_idle_time = std::chrono::seconds(5);
};

/** Credit that would serve for a while. */
struct credit_shortfall
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_shortfall&) const = default;
};

/**
 * Holds tokens that are already charged to their customers. They can be lost
 * with this VM, but not spent twice. Used by the traffic thread and the
 * control thread.
 */
class credit_pool
{
public:
    explicit credit_pool(credit_policy policy = {});

    /** Notes that a request comes, whether it can be served or not. */
    void record_demand(const customer_id& customer, token_count tokens,
                       time_point now);
    /** Holds tokens for a request. @return False if they aren't there. */
    bool reserve(const customer_id& customer, token_count tokens);
    /** Ends a reservation. @param used Of it, at most the reserved amount. */
    void settle(const customer_id& customer, token_count reserved,
                token_count used);
    /** Takes in a gift, or what another VM gives back. */
    void add(const customer_id& customer, token_count tokens, time_point now);
    /** Gives away what is free. @return Its amount; 0 if it is under least. */
    token_count release(const customer_id& customer, token_count min_amount,
                        token_count wanted_tokens);

    /** @return What is missing to outlast a while, by customer. */
    [[nodiscard]] std::vector<credit_shortfall>
    shortfalls(time_point now) const;
    /** Takes out what requests have used since the last call. */
    std::vector<credit_usage> take_unreported();
    /** Puts back what could not be reported. */
    void restore_unreported(const credit_usage& use);
    /** Takes out what was not used for long. */
    std::vector<credit_return> take_idle(time_point now);
    /** Takes out all that is free. */
    std::vector<credit_return> release_all();
    /** @return What is free. */
    [[nodiscard]] token_count free(const customer_id& customer) const;

private:
    struct entry
    {
        token_count free = 0;
        token_count used = 0; ///< And not reported.
        double rate = 0;      ///< Tokens a second at the last use.
        time_point used_at{};
        bool wanted = false; ///< By a request of this VM.
    };

    [[nodiscard]] double rate_at(const entry& known, time_point now) const;

    credit_policy policy_;
    mutable std::mutex mutex_;
    std::map<customer_id, entry> entries_;
};

} // namespace rosemarydeck
