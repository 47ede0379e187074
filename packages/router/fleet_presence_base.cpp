/** @file fleet_presence_base.cpp Record of the VMs that are running. */
#include "router/fleet_presence_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

fleet_presence::fleet_presence(presence_options options)
    : options_(std::move(options))
{
}

void fleet_presence::update(const std::map<vm_id, vm_presence>& entries,
                            time_point now)
{
    std::erase_if(entries_, [&](const auto& one) {
        return entries.count(one.first) == 0;
    });
    // Entries seem older than they are by the time in which none was read.
    const auto unread = now - observed_until(now);
    for (auto& [vm, observed] : entries_)
        observed.changed += updated_ ? unread : duration{};
    for (const auto& [vm, entry] : entries) {
        const auto known = entries_.try_emplace(vm, observed_entry{entry, now});
        auto& observed = known.first->second;
        if (observed.entry != entry)
            observed = {entry, now};
    }
    updated_ = true;
    last_update_ = now;
}

std::uint32_t fleet_presence::live_vms(time_point now) const
{
    if (!updated_)
        return 0;
    const auto others =
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& one) {
            return one.first != options_.self &&
                   observed_until(now) - one.second.changed <=
                       options_.liveness_timeout;
        });
    return static_cast<std::uint32_t>(others) + 1;
}

std::map<vm_id, vm_presence> fleet_presence::live(time_point now) const
{
    std::map<vm_id, vm_presence> result;
    for (const auto& [vm, observed] : entries_)
        if (vm == options_.self ||
            observed_until(now) - observed.changed <= options_.liveness_timeout)
            result[vm] = observed.entry;
    return result;
}

std::uint32_t fleet_presence::rank(time_point now) const
{
    std::uint32_t before = 0;
    for (const auto& [vm, entry] : live(now))
        before += vm < options_.self ? 1 : 0;
    return before;
}

bool fleet_presence::may_leave_rotation(const dc_id& own, time_point now) const
{
    std::size_t vms = 1;
    std::size_t outside = 1;
    for (const auto& [vm, entry] : live(now)) {
        if (vm == options_.self || entry.data_centre != own)
            continue;
        ++vms;
        outside += entry.out_of_rotation ? 1 : 0;
    }
    return outside * 5 <= vms * 2;
}

std::vector<vm_id> fleet_presence::removable(time_point now) const
{
    std::vector<vm_id> result;
    for (const auto& [vm, observed] : entries_)
        if (vm != options_.self &&
            observed_until(now) - observed.changed > options_.removal_timeout)
            result.push_back(vm);
    return result;
}

} // namespace rosemarydeck
