/** @file gateway_settings_type.hpp What a VM of the router fleet is told. */
#pragma once

#include "common/id_type.hpp"
#include "router/retry_budget_base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** Address of a TCP port. */
struct endpoint
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    /** @return IP:PORT. */
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
    endpoint callers; ///< Where clients connect.
    endpoint ready;   ///< Where the balancer asks whether to send clients.
    endpoint control; ///< For other VMs of the fleet.
    std::vector<endpoint> seeds; ///< Control endpoints of a few VMs.
    endpoint store;
    std::uint32_t store_writes_per_s = 400; ///< Of all VMs together.
    std::uint16_t metrics_port = 9464;
    std::uint64_t memory_mb = 0;
    double cores = 1; ///< Processor time that this VM may use.
    std::uint32_t max_descriptors = 1'024;
    retry_budget_options retries;
    std::chrono::milliseconds termination_grace_period{
        8'000}; ///< SIGTERM to SIGKILL.
    std::chrono::milliseconds max_config_apply_time{2'000};

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
