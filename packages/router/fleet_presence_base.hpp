/** @file fleet_presence_base.hpp Record of the VMs that are running. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace rosemarydeck
{

/** Entry that a VM rewrites in the store at regular intervals. */
struct vm_presence
{
    instance_id run;        ///< The instance that wrote it.
    std::uint64_t beat = 0; ///< Number of the write; grows with each one.
    dc_id data_centre;
    std::string address;    ///< IP address for other VMs.
    std::uint16_t port = 0; ///< Port for other VMs; 0 if there is none.
    /** Port for requests that other VMs pass on; 0 if there is none. */
    std::uint16_t relay_port = 0;
    double cores = 1; ///< Processor cores that the VM may use.
    /** The VM has told the load balancer not to send new clients. */
    bool out_of_rotation = false;

    bool operator==(const vm_presence&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_presence);

/** When a VM counts as ended. */
struct presence_options
{
    vm_id self;
    /** Time without a change of its entry after which a VM no longer counts as
     *  running. Longer than any outage of the store that must be tolerated. */
    duration liveness_timeout = milliseconds(25'000);
    /** Time without a change after which an entry may be removed. */
    duration removal_timeout = milliseconds(120'000);
    /** Longest time between two reads of the entries that counts towards these
     *  times. While the store can't be read, nobody can write there either. */
    duration max_read_gap = milliseconds(8'000);
};

/**
 * Tells which VMs may be running, by whether their entries still change. The
 * VM of a new entry counts as running until the entry has stayed unchanged for
 * the liveness timeout. Time in which the entries can't be read doesn't count:
 * what is divided among the VMs must not grow in an outage of the store.
 */
class fleet_presence
{
public:
    explicit fleet_presence(presence_options options);

    /** Replaces all entries.
     *  @param entries Every entry in the store. */
    void update(const std::map<vm_id, vm_presence>& entries, time_point now);
    /** @return Number of VMs that may be running, this one included; 0 before
     *  the first update. */
    [[nodiscard]] std::uint32_t live_vms(time_point now) const;
    /** @return Position of this VM by name among those that may be running,
     *  from 0. */
    [[nodiscard]] std::uint32_t rank(time_point now) const;
    /** @return Entries of the VMs that may be running, that of this VM included
     *  as soon as it has been read. */
    [[nodiscard]] std::map<vm_id, vm_presence> live(time_point now) const;
    /**
     * Tells whether this VM may leave the load balancer's rotation: at most
     * two fifths of a data centre's VMs may be out of it. The load balancer
     * uses all VMs, overloaded ones included, once fewer than half are left.
     * @param own Data centre of this VM.
     */
    [[nodiscard]] bool may_leave_rotation(const dc_id& own,
                                          time_point now) const;
    /** @return VMs whose entries may be removed. */
    [[nodiscard]] std::vector<vm_id> removable(time_point now) const;

private:
    /** @return The time up to which the entries are known to be unchanged. */
    [[nodiscard]] time_point observed_until(time_point now) const
    {
        return std::min(now, last_update_ + options_.max_read_gap);
    }

    struct observed_entry
    {
        vm_presence entry;
        time_point changed{}; ///< When a change was last seen.
    };

    presence_options options_;
    std::map<vm_id, observed_entry> entries_;
    bool updated_ = false; ///< Entries have been read at least once.
    time_point last_update_{};
};

} // namespace rosemarydeck
