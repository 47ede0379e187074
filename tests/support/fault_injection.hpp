/** @file fault_injection.hpp Random faults over a bag of cores, and the books
 * after. */
#pragma once

#include "fleet_simulation.hpp"

#include <string>

namespace rosemarydeck::simulation
{

/** What may happen in one run. */
struct fault_injection_options
{
    std::uint64_t seed = 1;
    std::size_t data_centres = 2;
    std::size_t vms_per_data_centre = 2;
    std::size_t customers = 3;
    token_count prepaid = 20'000;
    duration length = std::chrono::seconds(60);
    duration request_interval = std::chrono::milliseconds(50);
    duration fault_interval = std::chrono::seconds(4);
    bool kills = true;
    bool overlapping_kills =
        false; ///< Second losses before the first is healed.
    bool pauses = true;
    bool cuts = true;
    bool outages = true;
    bool top_ups = true;
    bool retries_across_data_centres = false; ///< Also in other data centres.
    platform_faults faults{20, 20, 10};
    std::int64_t orders_percent = 10;
};

/** What was found afterwards, when all was healed and settled. */
struct fault_injection_report
{
    token_count overspent = 0;     ///< Billed or run beyond what was prepaid.
    std::size_t doubled_bills = 0; ///< Keys stored more than once.
    std::size_t lost_bills = 0;    ///< Finished for the caller, no bill.
    /** The same, where the VM had no other in its data centre and died. */
    std::size_t lost_alone = 0;
    std::size_t double_orders = 0; ///< Orders that ran more than once.
    std::size_t false_no = 0;      ///< Refused as not run, and it had run.
    std::size_t finished = 0;
    std::size_t refused = 0;
    std::size_t false_refusals = 0; ///< Budget refusals that it could pay.
    std::size_t unanswered = 0;     ///< Neither, at a VM that lives.
    token_count held = 0;           ///< Still granted at the end.
    token_count unproven = 0;
    token_count unbooked = 0; ///< Difference of books and bills.
    double writes_per_second = 0;
    double reads_per_second = 0;

    [[nodiscard]] std::string text() const;
};

/** Runs one scene of random faults. @return The books after it. */
fault_injection_report
run_fault_injection(const fault_injection_options& options);

} // namespace rosemarydeck::simulation
