/** @file retry_budget_base.cpp Bound on the retries of requests. */
#include "router/retry_budget_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Part of the ratio that each VM uses. The rest is a margin for requests that
 *  other VMs count at a different time. */
constexpr double usable_ratio_part = 0.9;

} // namespace

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::record_request(const service_id& service, time_point now)
{
    auto& times = windows_[service].requests;
    drop_expired(times, now);
    times.push_back(now);
}

bool retry_budget::try_acquire_retry(const service_id& service,
                                     std::uint32_t live_vms, time_point now)
{
    auto& recent = windows_[service];
    drop_expired(recent.requests, now);
    drop_expired(recent.retries, now);
    const auto extra = live_vms == 0 ? 0 : options_.extra / live_vms;
    const auto max_retries = options_.ratio * usable_ratio_part *
                                 static_cast<double>(recent.requests.size()) +
                             static_cast<double>(extra);
    if (static_cast<double>(recent.retries.size()) + 1 > max_retries)
        return false;
    recent.retries.push_back(now);
    return true;
}

void retry_budget::drop_expired(std::deque<time_point>& times,
                                time_point now) const
{
    while (!times.empty() && times.front() + options_.window <= now)
        times.pop_front();
}

} // namespace rosemarydeck
