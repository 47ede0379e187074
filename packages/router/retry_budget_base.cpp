/** @file retry_budget_base.cpp Bounds the sends beyond each request's first. */
#include "router/retry_budget_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Kept back for requests that other VMs count at another moment. */
constexpr double ratio_margin = 0.9;

} // namespace

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::record_request(const service_id& service, time_point now)
{
    auto& times = windows_[service].requests;
    forget(times, now);
    times.push_back(now);
}

bool retry_budget::try_acquire_retry(const service_id& service,
                                     std::uint32_t live_vms, time_point now)
{
    auto& used = windows_[service];
    forget(used.requests, now);
    forget(used.repeats, now);
    const auto extra = live_vms == 0 ? 0 : options_.extra / live_vms;
    const auto limit = options_.ratio * ratio_margin *
                           static_cast<double>(used.requests.size()) +
                       static_cast<double>(extra);
    if (static_cast<double>(used.repeats.size()) + 1 > limit)
        return false;
    used.repeats.push_back(now);
    return true;
}

void retry_budget::forget(std::deque<time_point>& times, time_point now) const
{
    while (!times.empty() && times.front() + options_.window <= now)
        times.pop_front();
}

} // namespace rosemarydeck
