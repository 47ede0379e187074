/** @file fleet_presence_base.hpp How many VMs are running. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <map>
#include <vector>

namespace rosemarydeck
{

/** What a VM says of itself, again and again. */
struct vm_presence
{
    instance_id run;        ///< The process that said it.
    std::uint64_t beat = 0; ///< Grows with each time.
    dc_id data_centre;
    std::string address;    ///< IP number where other VMs reach it.
    std::uint16_t port = 0; ///< 0 if it has none for them.
    double cores = 1;       ///< Processor time that it may use.

    bool operator==(const vm_presence&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_presence);

/** When a VM counts as gone. */
struct presence_options
{
    vm_id self;
    /** Longer than any span without the store that rules allow for. */
    duration liveness_timeout = milliseconds(25'000);
    /** Its entry may be removed then. */
    duration forgotten_after = milliseconds(120'000);
};

/**
 * Counts the VMs that may be running, by whether their entries still change.
 * An unknown entry counts as running until it has been seen not to change.
 */
class fleet_presence
{
public:
    explicit fleet_presence(presence_options options);

    /** Takes in all entries, as they are now. */
    void update(const std::map<vm_id, vm_presence>& entries, time_point now);
    /** @return VMs that may be running, this one included; 0 while unknown. */
    [[nodiscard]] std::uint32_t live_vms(time_point now) const;
    /** @return What the VMs that may be running say, this one included once
     *  its entry has been seen. */
    [[nodiscard]] std::map<vm_id, vm_presence> live(time_point now) const;
    /** @return VMs whose entries may be removed. */
    [[nodiscard]] std::vector<vm_id> removable(time_point now) const;

private:
    struct sighting
    {
        vm_presence entry;
        time_point changed{};
    };

    presence_options options_;
    std::map<vm_id, sighting> sightings_;
    bool known_ = false;
};

} // namespace rosemarydeck
