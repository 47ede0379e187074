/** @file sync_interval_func.cpp How often a VM asks the platform's store. */
#include "router/sync_interval_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

sync_intervals sync_intervals_for(const sync_bounds& bounds)
{
    // Time for a call that gets no answer, and for its repetition.
    constexpr duration repeated_call = std::chrono::milliseconds(1'200);
    sync_intervals result;
    result.after_config = bounds.config_apply_time / 4;
    // Engines change most often, and a draining one still serves requests.
    result.after_engines =
        std::max(bounds.engine_drain_time / 4,
                 std::min(bounds.engine_drain_time / 2,
                          bounds.engine_drain_time - repeated_call));
    // A crash is written after one pause and read after another, both within
    // the time for contact.
    result.after_crashes = bounds.contact_time * 9 / 20;
    result.between_crash_writes = bounds.contact_time / 6;
    result.after_evacuations = bounds.evacuation_time.value_or(duration{}) / 4;
    result.watch_check = bounds.contact_time * 2 / 3;
    result.max_check_lag = bounds.contact_time / 6;
    result.report_check = bounds.contact_time * 4 / 3;
    // A probe that is lost takes a time-out as well.
    result.max_probe_pause = bounds.contact_time / 2;
    return result;
}

duration max_denial_age(const sync_bounds& bounds)
{
    return bounds.config_apply_time / 2;
}

duration pause_after_failures(std::uint32_t failures)
{
    constexpr duration first_pause = std::chrono::milliseconds(100);
    constexpr std::uint32_t max_doublings = 4;
    return first_pause * (1U << std::min(failures - 1, max_doublings));
}

} // namespace rosemarydeck
