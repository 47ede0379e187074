/** @file fleet_presence_base.cpp How many VMs are running. */
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
    std::erase_if(sightings_, [&](const auto& one) {
        return entries.count(one.first) == 0;
    });
    for (const auto& [vm, entry] : entries) {
        const auto known = sightings_.try_emplace(vm, sighting{entry, now});
        auto& seen = known.first->second;
        if (seen.entry != entry)
            seen = {entry, now};
    }
    known_ = true;
}

std::uint32_t fleet_presence::live_vms(time_point now) const
{
    if (!known_)
        return 0;
    const auto others = std::count_if(
        sightings_.begin(), sightings_.end(), [&](const auto& one) {
            return one.first != options_.self &&
                   now - one.second.changed <= options_.liveness_timeout;
        });
    return static_cast<std::uint32_t>(others) + 1;
}

std::map<vm_id, vm_presence> fleet_presence::live(time_point now) const
{
    std::map<vm_id, vm_presence> result;
    for (const auto& [vm, seen] : sightings_)
        if (vm == options_.self ||
            now - seen.changed <= options_.liveness_timeout)
            result[vm] = seen.entry;
    return result;
}

std::vector<vm_id> fleet_presence::removable(time_point now) const
{
    std::vector<vm_id> result;
    for (const auto& [vm, seen] : sightings_)
        if (vm != options_.self &&
            now - seen.changed > options_.forgotten_after)
            result.push_back(vm);
    return result;
}

} // namespace rosemarydeck
