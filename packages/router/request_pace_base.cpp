/** @file request_pace_base.cpp A VM's share of the requests that an engine
 * takes.
 */
#include "router/request_pace_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Lowest limit, in requests a second. Without any request a VM could not learn
 *  that the limit has ended. */
constexpr double min_limit_per_s = 0.02;
constexpr double max_limit_per_s = 1e5;

duration seconds(double count)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(count));
}

} // namespace

request_pace::request_pace(const pace_options& options, time_point start)
    : options_(options)
{
    const auto limit =
        std::clamp(options.limit_per_s, min_limit_per_s, max_limit_per_s);
    const auto vms = std::max<std::uint32_t>(1, options.vms);
    const auto period_s = vms / (limit * options.usable_part);
    period_ = std::max(duration(1), seconds(period_s));
    turn_lifetime_ =
        seconds(options.burst_requests / limit + options.burst_seconds);
    first_begin_ = start + seconds(period_s * (options.rank % vms + 1) / vms);
}

std::int64_t request_pace::first_turn(time_point now) const
{
    const auto lapsed = now - turn_lifetime_ - first_begin_;
    if (lapsed < duration{})
        return next_unused_;
    return std::max<std::int64_t>(next_unused_, lapsed / period_ + 1);
}

time_point request_pace::next(time_point now) const
{
    return std::max(now, first_begin_ + period_ * first_turn(now));
}

bool request_pace::ready(time_point now) const
{
    return next(now) <= now;
}

void request_pace::use(time_point now)
{
    next_unused_ = first_turn(now) + 1;
}

} // namespace rosemarydeck
