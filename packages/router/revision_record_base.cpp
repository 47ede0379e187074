/** @file revision_record_base.cpp How far the store is known to be. */
#include "router/revision_record_base.hpp"

namespace rosemarydeck
{

void revision_record::record(std::uint64_t revision, time_point now)
{
    if (!entries_.empty() && revision <= entries_.back().revision)
        return;
    entries_.push_back({revision, now});
    // The newest of those that are too old still tells what was known since.
    while (entries_.size() > 1 && entries_[1].time + memory_ <= now)
        entries_.pop_front();
}

std::uint64_t revision_record::known_at(time_point when) const
{
    for (auto one = entries_.rbegin(); one != entries_.rend(); ++one)
        if (one->time <= when)
            return one->revision;
    return 0;
}

} // namespace rosemarydeck
