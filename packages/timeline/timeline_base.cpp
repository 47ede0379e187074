/** @file timeline_base.cpp Hybrid clock and event buffer of a VM. */
#include "timeline/timeline_base.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

hybrid_time hybrid_clock::next(time_point now)
{
    const auto wall = to_microseconds(now);
    if (wall > last_.wall_us)
        last_ = {wall, 0};
    else
        ++last_.counter;
    return last_;
}

void hybrid_clock::observe(hybrid_time received)
{
    last_ = std::max(last_, received);
}

timeline_buffer::timeline_buffer(std::size_t capacity) : events_(capacity) {}

void timeline_buffer::push(timeline_event event)
{
    events_.push_back(std::move(event));
}

std::vector<timeline_event>
timeline_buffer::select(const timeline_filter& filter) const
{
    std::vector<timeline_event> matching;
    for (const auto& event : events_) {
        if (!filter.customer.empty() && event.customer != filter.customer)
            continue;
        if (!filter.key.empty() && event.key != filter.key)
            continue;
        if (!filter.kind.empty() &&
            nlohmann::json(event.kind).get<std::string>() != filter.kind)
            continue;
        matching.push_back(event);
    }
    return matching;
}

std::vector<timeline_event> merge_events(std::vector<timeline_event> events)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& left, const auto& right) {
                         if (left.when != right.when)
                             return left.when < right.when;
                         return left.vm < right.vm;
                     });
    return events;
}

} // namespace rosemarydeck
