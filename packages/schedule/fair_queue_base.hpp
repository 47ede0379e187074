/** @file fair_queue_base.hpp Weighted fair queue with priorities. */
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

/** A request that waits to be sent to a backend server. */
struct waiting_request
{
    request_id id;
    customer_id customer;
    priority rank = priority::standard; ///< Priority of the request.
    std::int64_t weight = 1;            ///< Weight of the customer, above zero.
    token_count cost = 0;               ///< Expected usage in tokens.
    time_point arrived;                 ///< Time at which it was queued.

    bool operator==(const waiting_request&) const = default;
};

/** Options of a fair_queue. */
struct fair_queue_options
{
    /** Minimum share of the served tokens in percent that each priority gets
     *  while it has waiting requests. */
    std::array<std::int64_t, priority_count> min_share_percent{0, 15, 5};
    /** Maximum number of waiting requests, all priorities together. */
    std::size_t max_waiting = 4096;
};

/**
 * Queue of the requests for one target. The most urgent priority goes first,
 * unless another one with waiting requests has received less than its minimum
 * share. Within a priority, start-time fair queueing: the customer with the
 * least weighted service (tokens divided by weight) goes first. A customer that
 * becomes active starts no lower than the least served active customer, or than
 * the one that was served last if none is active, so that idle time gives no
 * advantage.
 */
class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options = {});

    /** @return False if the queue is full. */
    bool push(waiting_request request);
    /** Removes the request to run next. @return It, or none if empty. */
    std::optional<waiting_request> pop();
    /** Puts back a request that pop() returned and that could not run, ahead of
     *  the other requests of its customer. */
    void push_front(waiting_request request);
    /** Removes a request. @return False if it is not in the queue. */
    bool erase(request_id id);
    /** @return Number of waiting requests. */
    [[nodiscard]] std::size_t size() const { return positions_.size(); }
    /** @return Cost in tokens of the requests that wait at this priority or a
     *  more urgent one. */
    [[nodiscard]] token_count cost_ahead(priority rank) const;

private:
    /** Requests and service of one customer at one priority. */
    struct customer_flow
    {
        std::deque<waiting_request> waiting;
        double weighted_service = 0; ///< Served tokens divided by weight.
    };
    /** State of one priority. */
    struct priority_lane
    {
        std::unordered_map<customer_id, customer_flow> flows;
        /** Flows with waiting requests, by weighted service. */
        std::set<std::pair<double, customer_id>> backlogged;
        /** Weighted service that the flow served last had before that request.
         */
        double virtual_time = 0;
        token_count waiting_tokens = 0; ///< Cost of all waiting requests.
        /** Tokens served, halved for all priorities from time to time. */
        double recent_service = 0;
    };
    /** Where a waiting request is queued. */
    struct queue_position
    {
        priority rank = priority::standard;
        customer_id customer;
    };

    priority_lane& lane_of(priority rank);
    void insert(waiting_request request, bool at_front);
    /** @return The priority to serve next, or none if the queue is empty. */
    [[nodiscard]] std::optional<priority> next_priority() const;

    fair_queue_options options_;
    std::array<priority_lane, priority_count> lanes_;
    std::unordered_map<request_id, queue_position> positions_;
};

} // namespace rosemarydeck
