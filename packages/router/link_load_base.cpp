/** @file link_load_base.cpp Detection of a saturated network link. */
#include "router/link_load_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

link_load::link_load(link_load_options options) : options_(options) {}

void link_load::record(const link_traffic& total, time_point now)
{
    samples_.push_back({now, total});
    while (samples_.size() > 2 && samples_[1].at + options_.window <= now)
        samples_.pop_front();
    update_utilization();
    if (!overloaded_ && utilization_ >= options_.overload_utilization) {
        const bool relapse = overload_time_ > duration{} &&
                             now - overload_end_ < options_.relapse_time;
        overload_time_ =
            relapse ? std::min(options_.max_overload_time, overload_time_ * 2)
                    : options_.min_overload_time;
        overload_start_ = now;
        overloaded_ = true;
    }
    else if (overloaded_ && utilization_ < options_.recovery_utilization &&
             now - overload_start_ >= overload_time_) {
        overload_end_ = now;
        overloaded_ = false;
    }
}

void link_load::update_utilization()
{
    const auto& first = samples_.front();
    const auto& last = samples_.back();
    const auto span = std::chrono::duration<double>(
        std::max<duration>(options_.window, last.at - first.at));
    const auto bytes = std::max(last.total.received - first.total.received,
                                last.total.sent - first.total.sent);
    utilization_ =
        options_.bytes_per_s <= 0
            ? 0
            : static_cast<double>(bytes) / span.count() / options_.bytes_per_s;
}

} // namespace rosemarydeck
