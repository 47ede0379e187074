/** @file fair_queue_base.cpp Weighted fair queue with priorities. */
#include "schedule/fair_queue_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** When the tokens served at all priorities exceed this, the count of each is
 *  halved, so that the minimum shares depend on recent service only. */
constexpr double max_recent_service_tokens = 200'000;

std::size_t index_of(priority rank)
{
    return static_cast<std::size_t>(rank);
}

} // namespace

fair_queue::fair_queue(fair_queue_options options) : options_(options) {}

bool fair_queue::push(waiting_request request)
{
    if (positions_.size() >= options_.max_waiting)
        return false;
    insert(std::move(request), false);
    return true;
}

void fair_queue::push_front(waiting_request request)
{
    // Reverts the service that pop() counted.
    auto& lane = lane_of(request.rank);
    auto& flow = lane.flows[request.customer];
    const auto cost = static_cast<double>(request.cost);
    lane.backlogged.erase({flow.weighted_service, request.customer});
    flow.weighted_service -= cost / static_cast<double>(request.weight);
    lane.recent_service = std::max(0.0, lane.recent_service - cost);
    if (!flow.waiting.empty())
        lane.backlogged.insert({flow.weighted_service, request.customer});
    insert(std::move(request), true);
}

std::optional<waiting_request> fair_queue::pop()
{
    const auto rank = next_priority();
    if (!rank)
        return std::nullopt;
    auto& lane = lane_of(*rank);
    const auto [weighted_service, customer] = *lane.backlogged.begin();
    lane.backlogged.erase(lane.backlogged.begin());
    auto& flow = lane.flows.at(customer);
    auto request = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    const auto cost = static_cast<double>(request.cost);
    lane.virtual_time = weighted_service;
    flow.weighted_service += cost / static_cast<double>(request.weight);
    lane.waiting_tokens -= request.cost;
    lane.recent_service += cost;
    positions_.erase(request.id);
    if (!flow.waiting.empty())
        lane.backlogged.insert({flow.weighted_service, customer});
    double total = 0;
    for (const auto& each : lanes_)
        total += each.recent_service;
    if (total > max_recent_service_tokens)
        for (auto& each : lanes_)
            each.recent_service /= 2;
    return request;
}

bool fair_queue::erase(request_id id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
        return false;
    const auto position = found->second;
    auto& lane = lane_of(position.rank);
    auto& flow = lane.flows.at(position.customer);
    const auto request_at =
        std::find_if(flow.waiting.begin(), flow.waiting.end(),
                     [&](const auto& request) { return request.id == id; });
    lane.waiting_tokens -= request_at->cost;
    flow.waiting.erase(request_at);
    if (flow.waiting.empty())
        lane.backlogged.erase({flow.weighted_service, position.customer});
    positions_.erase(found);
    return true;
}

token_count fair_queue::cost_ahead(priority rank) const
{
    token_count cost = 0;
    for (std::size_t index = 0; index <= index_of(rank); ++index)
        cost += lanes_[index].waiting_tokens;
    return cost;
}

fair_queue::priority_lane& fair_queue::lane_of(priority rank)
{
    return lanes_[index_of(rank)];
}

void fair_queue::insert(waiting_request request, bool at_front)
{
    auto& lane = lane_of(request.rank);
    auto& flow = lane.flows[request.customer];
    if (flow.waiting.empty()) {
        const auto min_weighted_service = lane.backlogged.empty()
                                              ? lane.virtual_time
                                              : lane.backlogged.begin()->first;
        if (!at_front)
            flow.weighted_service =
                std::max(flow.weighted_service, min_weighted_service);
        lane.backlogged.insert({flow.weighted_service, request.customer});
    }
    lane.waiting_tokens += request.cost;
    positions_[request.id] = {request.rank, request.customer};
    if (at_front)
        flow.waiting.push_front(std::move(request));
    else
        flow.waiting.push_back(std::move(request));
}

std::optional<priority> fair_queue::next_priority() const
{
    double total = 0;
    for (const auto& lane : lanes_)
        total += lane.recent_service;
    constexpr double hundred_percent = 100;
    for (std::size_t index = priority_count; index-- > 1;) {
        const auto owed =
            total * static_cast<double>(options_.min_share_percent[index]) /
            hundred_percent;
        if (!lanes_[index].backlogged.empty() &&
            lanes_[index].recent_service < owed)
            return static_cast<priority>(index);
    }
    for (std::size_t index = 0; index < priority_count; ++index)
        if (!lanes_[index].backlogged.empty())
            return static_cast<priority>(index);
    return std::nullopt;
}

} // namespace rosemarydeck
