/** @file sync_interval_func.hpp How often a VM asks the platform's store. */
#pragma once

#include "common/time_type.hpp"

#include <optional>

namespace rosemarydeck
{

/** Times within which a VM must act on what the store acknowledged. */
struct sync_bounds
{
    duration config_apply_time = std::chrono::milliseconds(2'000);
    /** Time from an engine's draining to its last request. */
    duration engine_drain_time = std::chrono::milliseconds(2'000);
    /** Time from the evacuation of a data centre to the last request to its
     *  engines; none if the platform evacuates none. */
    std::optional<duration> evacuation_time{};
    /** Time that a VM has to find its peers and the store again. */
    duration contact_time = std::chrono::milliseconds(3'000);

    bool operator==(const sync_bounds&) const = default;
};

/** Pauses between calls to the store. */
struct sync_intervals
{
    /** Pauses between an answer of a watch and the next watch. Each answer is a
     *  call, so changes within a pause cost one call together. */
    duration after_config{};
    duration after_engines{};
    duration after_crashes{};
    duration after_evacuations{};
    /** Minimum time between two writes of this VM's crash record. */
    duration between_crash_writes{};
    /** Time after which a watch that has told nothing is checked: news must be
     *  known by the end of the time for contact, whatever was lost before. */
    duration watch_check{};
    /** How far the answer of such a check may be out of date; a later one is
     *  asked again at the full price. */
    duration max_check_lag{};
    /** The same as watch_check for reports of crashes, which have one more time
     *  for contact. */
    duration report_check{};
    /** Maximum pause before an unreachable store is probed again. */
    duration max_probe_pause{};

    bool operator==(const sync_intervals&) const = default;
};

/**
 * Derives the pauses from the bounds: as long as a change still takes effect in
 * time if the call after the pause has to be repeated. Answers the load of
 * changes that come in series: a configuration or an engine that changes costs
 * a call of every VM, and an engine that crashes makes each VM that used it
 * write its record, which costs the square of the number of VMs.
 */
sync_intervals sync_intervals_for(const sync_bounds& bounds);

/** @return How long ago the version in force may have been the newest for a
 *  request to be denied by it. The rest of the time for a new version is for
 *  answers on their way. */
duration max_denial_age(const sync_bounds& bounds);

/** @param failures Lists or watches of one kind that failed in a row; 1 or
 *  more.
 *  @return Pause before the next one. Each call is priced and counts toward the
 *          rate that all VMs share, also one whose answer is of no use. */
duration pause_after_failures(std::uint32_t failures);

} // namespace rosemarydeck
