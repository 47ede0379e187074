/** @file gateway_settings_type.hpp Settings of one VM of the router fleet. */
#pragma once

#include "common/id_type.hpp"
#include "router/retry_budget_base.hpp"
#include "router/sync_interval_func.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** IP address and TCP port. */
struct endpoint
{
    std::string address; ///< IP address.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    /** @return The endpoint as IP:PORT. */
    [[nodiscard]] std::string text() const
    {
        return address + ":" + std::to_string(port);
    }
};

/** Everything that the gateway reads from its settings file. */
struct gateway_settings
{
    vm_id vm;
    dc_id data_centre;
    std::map<dc_id, region_id> regions; ///< Region of each data centre.
    endpoint callers;                   ///< Listening address for clients.
    /** Listening address for the load balancer's readiness checks. */
    endpoint ready;
    endpoint control; ///< Listening address for other VMs of the fleet.
    /** Listening address for requests that other VMs pass on; port 0 if there
     *  is none. */
    endpoint relay;
    std::vector<endpoint> seeds; ///< Control addresses of some other VMs.
    endpoint store;              ///< The platform's store.
    /** Writes per second that the store accepts from all VMs together. */
    std::uint32_t store_writes_per_s = 400;
    std::uint16_t metrics_port = 9464; ///< Serves /metrics.
    std::uint64_t memory_mb = 0;       ///< Memory that this VM may use.
    double cores = 1; ///< Processor cores that this VM may use.
    std::uint32_t max_descriptors = 1'024; ///< File descriptors it may open.
    /** Capacity of this VM's network link in each direction, in bits per
     *  second; 0 if unknown. */
    double link_bits_per_s = 0;
    retry_budget_options retries;
    /** Time from SIGTERM to SIGKILL. */
    std::chrono::milliseconds termination_grace_period{8'000};
    sync_bounds bounds; ///< Times for changes in the store to take effect.

    /** Compares the settings whose change a reload reports. */
    bool operator==(const gateway_settings& other) const
    {
        return vm == other.vm && callers == other.callers &&
               store == other.store && seeds == other.seeds &&
               termination_grace_period == other.termination_grace_period &&
               retries.extra == other.retries.extra &&
               retries.ratio == other.retries.ratio;
    }
};

} // namespace rosemarydeck
