/** @file fault_injection.hpp Simulated fleet under random faults. */
#pragma once

#include "fleet_simulation.hpp"

#include <string>

namespace rosemarydeck::simulation
{

/** Size, load and faults of one run. */
struct fault_injection_options
{
    std::uint64_t seed = 1; ///< Seed of all random choices.
    std::size_t data_centres = 2;
    std::size_t vms_per_data_centre = 2;
    std::size_t customers = 3;
    token_count prepaid = 20'000; ///< Tokens of each customer.
    /** Time for which requests are sent and faults are injected. */
    duration simulated_time = std::chrono::seconds(60);
    /** Time between two requests. */
    duration request_interval = std::chrono::milliseconds(50);
    /** Mean pause between two faults. */
    duration fault_interval = std::chrono::seconds(4);
    bool kill_vms = true;
    /** Also kill a VM while another one is dead. */
    bool overlapping_kills = false;
    bool pause_vms = true;
    bool cut_links = true; ///< Cut links between VMs and to the platform.
    bool platform_outages = true;
    bool top_up_customers = true;
    /** Send retries to other data centres as well. */
    bool retries_across_data_centres = false;
    platform_faults faults{20, 20, 10};
    /** Percentage of orders, which are requests that may run only once. */
    std::int64_t orders_percent = 10;
};

/** Counts after a run, when all faults are healed and grants settled. */
struct fault_injection_report
{
    token_count overspent = 0; ///< Tokens billed or granted beyond the prepaid.
    std::size_t doubled_bills = 0; ///< Keys that are charged more than once.
    std::size_t lost_bills = 0; ///< Finished requests or keys without a bill.
    /** Bills lost with a killed VM that was alone in its data centre. */
    std::size_t lost_alone = 0;
    std::size_t double_orders = 0; ///< Orders that ran more than once.
    std::size_t false_no = 0;      ///< Refused as not run, yet dispatched.
    std::size_t finished = 0;      ///< Requests with a complete answer.
    std::size_t refused = 0;       ///< Requests with an error answer.
    /** Refused for lack of budget, although the account had enough left. */
    std::size_t false_refusals = 0;
    std::size_t unanswered = 0; ///< Requests without answer, at a live VM.
    token_count held = 0;       ///< Tokens still granted at the end.
    token_count unproven = 0;   ///< Tokens that a lost VM may have spent.
    token_count unbooked = 0;   ///< Tokens by which accounts and bills differ.
    double writes_per_second = 0; ///< Platform writes per simulated second.
    double reads_per_second = 0;  ///< Platform reads per simulated second.

    /** @return The counts, one "name: value" a line. */
    [[nodiscard]] std::string text() const;
};

/** Runs a simulated fleet under random faults. @return The counts. */
fault_injection_report
run_fault_injection(const fault_injection_options& options);

} // namespace rosemarydeck::simulation
