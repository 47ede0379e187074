/** @file fair_queue_base.cpp The order in which waiting requests run. */
#include "schedule/fair_queue_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Tokens after which the shares of the priorities are forgotten by half. */
constexpr double share_memory_tokens = 200'000;

std::size_t index_of(priority rank)
{
    return static_cast<std::size_t>(rank);
}

} // namespace

fair_queue::fair_queue(fair_queue_options options) : options_(options) {}

bool fair_queue::push(waiting_request request)
{
    if (places_.size() >= options_.max_waiting)
        return false;
    insert(std::move(request), false);
    return true;
}

void fair_queue::push_front(waiting_request request)
{
    // The service was counted when the request was taken; undo that.
    auto& lane = lane_of(request.rank);
    auto& flow = lane.flows[request.customer];
    const auto cost = static_cast<double>(request.cost);
    lane.order.erase({flow.served, request.customer});
    flow.served -= cost / static_cast<double>(request.weight);
    lane.taken = std::max(0.0, lane.taken - cost);
    if (!flow.waiting.empty())
        lane.order.insert({flow.served, request.customer});
    insert(std::move(request), true);
}

std::optional<waiting_request> fair_queue::pop()
{
    const auto rank = next_lane();
    if (!rank)
        return std::nullopt;
    auto& lane = lane_of(*rank);
    const auto [served, customer] = *lane.order.begin();
    lane.order.erase(lane.order.begin());
    auto& flow = lane.flows.at(customer);
    auto request = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    const auto cost = static_cast<double>(request.cost);
    lane.level = served;
    flow.served += cost / static_cast<double>(request.weight);
    lane.waiting -= request.cost;
    lane.taken += cost;
    places_.erase(request.id);
    if (!flow.waiting.empty())
        lane.order.insert({flow.served, customer});
    double total = 0;
    for (const auto& each : lanes_)
        total += each.taken;
    if (total > share_memory_tokens)
        for (auto& each : lanes_)
            each.taken /= 2;
    return request;
}

bool fair_queue::erase(request_id id)
{
    const auto found = places_.find(id);
    if (found == places_.end())
        return false;
    const auto where = found->second;
    auto& lane = lane_of(where.rank);
    auto& flow = lane.flows.at(where.customer);
    const auto at =
        std::find_if(flow.waiting.begin(), flow.waiting.end(),
                     [&](const auto& request) { return request.id == id; });
    lane.waiting -= at->cost;
    flow.waiting.erase(at);
    if (flow.waiting.empty())
        lane.order.erase({flow.served, where.customer});
    places_.erase(found);
    return true;
}

token_count fair_queue::cost_ahead(priority rank) const
{
    token_count cost = 0;
    for (std::size_t index = 0; index <= index_of(rank); ++index)
        cost += lanes_[index].waiting;
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
        const auto min_served =
            lane.order.empty() ? lane.level : lane.order.begin()->first;
        if (!at_front)
            flow.served = std::max(flow.served, min_served);
        lane.order.insert({flow.served, request.customer});
    }
    lane.waiting += request.cost;
    places_[request.id] = {request.rank, request.customer};
    if (at_front)
        flow.waiting.push_front(std::move(request));
    else
        flow.waiting.push_back(std::move(request));
}

std::optional<priority> fair_queue::next_lane() const
{
    double total = 0;
    for (const auto& lane : lanes_)
        total += lane.taken;
    constexpr double all_percent = 100;
    for (std::size_t index = priority_count; index-- > 1;) {
        const auto owed = total *
                          static_cast<double>(options_.floor_percent[index]) /
                          all_percent;
        if (!lanes_[index].order.empty() && lanes_[index].taken < owed)
            return static_cast<priority>(index);
    }
    for (std::size_t index = 0; index < priority_count; ++index)
        if (!lanes_[index].order.empty())
            return static_cast<priority>(index);
    return std::nullopt;
}

} // namespace rosemarydeck
