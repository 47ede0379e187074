/** @file config_knowledge_base.cpp What a VM knows of the newest configuration.
 */
#include "router/config_knowledge_base.hpp"

namespace rosemarydeck
{

void config_knowledge::record_sync(const sync_evidence& sync)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    evidence_.sync = sync;
}

void config_knowledge::record_version(std::uint64_t version, const vm_id& vm)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (version <= evidence_.newest_version)
        return;
    evidence_.newest_version = version;
    evidence_.newest_at = vm;
}

void config_knowledge::record_confirmed(std::uint64_t version,
                                        time_point known_at, const vm_id& by)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (version < evidence_.confirmed_version ||
        (version == evidence_.confirmed_version && evidence_.confirmed &&
         known_at <= *evidence_.confirmed))
        return;
    evidence_.confirmed_version = version;
    evidence_.confirmed = known_at;
    evidence_.confirmed_by = by;
}

void config_knowledge::record_unreadable(bool unreadable)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    evidence_.unreadable = unreadable;
}

config_evidence config_knowledge::evidence() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return evidence_;
}

bool config_knowledge::may_deny(std::uint64_t own_version, duration max_age,
                                time_point now) const
{
    const auto known = evidence();
    return !known.unreadable && known.newest_version <= own_version &&
           known.confirmed_version == own_version && known.confirmed &&
           *known.confirmed + max_age >= now;
}

} // namespace rosemarydeck
