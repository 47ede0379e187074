/** @file fair_queue_base.hpp The order in which waiting requests run. */
#pragma once

#include "common/id_type.hpp"
#include "common/priority_type.hpp"
#include "common/time_type.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rosemarydeck
{

/** A request that waits for a backend server. */
struct waiting_request
{
    request_id id;
    customer_id customer;
    priority rank = priority::standard;
    std::int64_t weight = 1; ///< Of the customer, above zero.
    token_count cost = 0;    ///< Tokens it is expected to take.
    time_point arrived;

    bool operator==(const waiting_request&) const = default;
};

/** How the priorities share what is served. */
struct fair_queue_options
{
    /** Least share of the tokens served while a priority waits, percent. */
    std::array<std::int64_t, priority_count> floor_percent{0, 15, 5};
    std::size_t max_waiting = 4096; ///< Requests of all priorities.
};

/**
 * The queue of one target. Urgent work goes first, except that each other
 * priority that waits is owed its floor. Within a priority the customer with
 * the least weighted service so far goes first; a customer that was idle
 * starts level with the least served one, so idle time earns nothing.
 */
class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options = {});

    /** @return False if the queue is full. */
    bool push(waiting_request request);
    /** @return The request to run next, or none. */
    std::optional<waiting_request> pop();
    /** Puts back a request that could not run, ahead of its customer's. */
    void push_front(waiting_request request);
    /** Drops a request. @return False if it does not wait here. */
    bool erase(request_id id);
    /** @return Requests that wait. */
    [[nodiscard]] std::size_t size() const { return places_.size(); }
    /** @return Tokens that wait at a priority or at a more urgent one. */
    [[nodiscard]] token_count cost_ahead(priority rank) const;

private:
    struct customer_flow
    {
        std::deque<waiting_request> waiting;
        double served = 0; ///< Tokens over weight.
    };
    struct priority_lane
    {
        std::unordered_map<customer_id, customer_flow> flows;
        std::set<std::pair<double, customer_id>> order; ///< Flows that wait.
        double level = 0; ///< Served count of the flow last taken.
        token_count waiting = 0;
        double taken = 0; ///< Tokens served, fading.
    };
    struct queue_place
    {
        priority rank = priority::standard;
        customer_id customer;
    };

    priority_lane& lane_of(priority rank);
    void insert(waiting_request request, bool at_front);
    [[nodiscard]] std::optional<priority> next_lane() const;

    fair_queue_options options_;
    std::array<priority_lane, priority_count> lanes_;
    std::unordered_map<request_id, queue_place> places_;
};

} // namespace rosemarydeck
