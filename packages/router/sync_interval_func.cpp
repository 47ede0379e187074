/** @file sync_interval_func.cpp How often a VM asks the platform's store. */
#include "router/sync_interval_func.hpp"

namespace rosemarydeck
{

sync_intervals sync_intervals_for(const sync_bounds& bounds)
{
    sync_intervals result;
    result.after_config = bounds.config_apply_time / 4;
    result.after_engines = bounds.engine_drain_time / 4;
    // A crash is written after one pause and read after another, both within
    // the time for contact.
    result.after_crashes = bounds.contact_time / 3;
    result.between_crash_writes = bounds.contact_time / 6;
    // A probe that is lost takes a time-out as well.
    result.max_probe_pause = bounds.contact_time / 2;
    return result;
}

} // namespace rosemarydeck
