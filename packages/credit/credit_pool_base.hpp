/** @file credit_pool_base.hpp Credit received from other VMs. */
#pragma once

#include "common/time_type.hpp"
#include "credit/credit_type.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarydeck
{

/** Parameters for holding credit ahead of requests. */
struct credit_policy
{
    double cover_seconds = 5; ///< Seconds of demand to be covered.
    /** Time constant of the exponentially decaying demand rate. */
    duration rate_window = std::chrono::seconds(8);
    /** Time without demand after which credit is returned. */
    duration max_idle_time = std::chrono::seconds(5);
};

/**
 * Tells how much credit VMs may hold ahead of requests. Answers the load of a
 * budget that comes to its end on many VMs: what each of them holds for the
 * next seconds adds up to a large part of the rest, and requests at other VMs
 * are refused meanwhile.
 * @return Factor on cover_seconds: 1 while a quarter of the budget is left,
 *         0 from a twentieth on.
 */
double cover_factor(token_count prepaid, token_count consumed);

/** Tokens missing to cover a customer's demand for cover_seconds. */
struct credit_shortfall
{
    customer_id customer;
    token_count tokens = 0;

    bool operator==(const credit_shortfall&) const = default;
};

/**
 * Holds tokens that the ledger already records as spent. They are lost if this
 * VM crashes, but cannot be spent twice. Used by the traffic thread and the
 * control thread.
 */
class credit_pool
{
public:
    explicit credit_pool(credit_policy policy = {});

    /** Sets the factor on cover_seconds for one customer; 1 at first. */
    void set_cover_factor(const customer_id& customer, double factor);
    /** Records the demand of a request, whether or not it can be served. */
    void record_demand(const customer_id& customer, token_count tokens,
                       time_point now);
    /** Reserves tokens for a request. @return False if too few are free. */
    bool reserve(const customer_id& customer, token_count tokens);
    /** Ends a reservation. @param used Tokens to charge, capped at reserved. */
    void settle(const customer_id& customer, token_count reserved,
                token_count used);
    /** Adds credit from a reply, or returned by another VM. */
    void add(const customer_id& customer, token_count tokens, time_point now);
    /** Removes free tokens in order to lend them to another VM.
     *  @return Tokens removed; 0 if fewer than @p min_tokens are free. */
    token_count release(const customer_id& customer, token_count min_tokens,
                        token_count wanted_tokens);

    /** @return Customers whose free tokens cover less than half of the demand
     *  for cover_seconds, and the tokens missing to cover it. */
    [[nodiscard]] std::vector<credit_shortfall>
    shortfalls(time_point now) const;
    /** Removes and returns the usage recorded since the last call. */
    std::vector<credit_usage> take_unreported();
    /** Restores usage that could not be reported. */
    void restore_unreported(const credit_usage& use);
    /** Removes and returns free tokens without demand for max_idle_time, and
     *  those far above the demand to be covered where its factor is below 1. */
    std::vector<credit_return> take_idle(time_point now);
    /** Removes and returns all free tokens. */
    std::vector<credit_return> release_all();
    /** @return Customers of whom this pool has held or lacked credit. */
    [[nodiscard]] std::vector<customer_id> customers() const;
    /** @return Tokens neither used nor reserved. */
    [[nodiscard]] token_count free(const customer_id& customer) const;

private:
    struct entry
    {
        token_count free = 0;
        token_count used = 0;     ///< Used, and not yet reported.
        double rate = 0;          ///< Tokens per second at last_active.
        time_point last_active{}; ///< Last demand, or first credit.
        bool has_demand = false;  ///< Requests of this VM have been recorded.
        double cover_factor = 1;
    };

    [[nodiscard]] double rate_at(const entry& known, time_point now) const;
    /** @return Tokens to be held ahead of requests. */
    [[nodiscard]] token_count target(const entry& known, time_point now) const;

    credit_policy policy_;
    mutable std::mutex mutex_;
    std::map<customer_id, entry> entries_;
};

} // namespace rosemarydeck
