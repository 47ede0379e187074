/** @file config_knowledge_base.hpp What a VM knows of the newest configuration.
 */
#pragma once

#include "common/id_type.hpp"
#include "router/object_sync_base.hpp"

#include <mutex>

namespace rosemarydeck
{

/** What tells whether the configuration in force is the newest one. */
struct config_evidence
{
    sync_evidence sync;
    std::uint64_t newest_version = 0; ///< Highest version heard of.
    vm_id newest_at; ///< The VM that named it; empty for the store.
    /** The version that was the newest at a time, for certain. */
    std::uint64_t confirmed_version = 0;
    /** That time, by a clock that counts suspensions of the VM. */
    std::optional<time_point> confirmed;
    vm_id confirmed_by; ///< The VM that told it; empty for the store.
    /** The store's newest configuration can't be read. */
    bool unreadable = false;

    bool operator==(const config_evidence&) const = default;
};

/** Shares the evidence between the control thread, which writes it, and the
 *  traffic thread. */
class config_knowledge
{
public:
    void record_sync(const sync_evidence& sync);
    /** Records a version that another VM uses, or the store holds. */
    void record_version(std::uint64_t version, const vm_id& vm);
    /** Records that a version was the newest at a time. It has to be in force
     *  here, or known by record_version(), before.
     *  @param known_at By the clock that may_deny() is asked by.
     *  @param by The VM that told it; empty for the store. */
    void record_confirmed(std::uint64_t version, time_point known_at,
                          const vm_id& by);
    /** Records whether the store's newest configuration can be read. */
    void record_unreadable(bool unreadable);
    [[nodiscard]] config_evidence evidence() const;
    /** @param own_version Version in force.
     *  @param max_age Longest time that the platform lets a VM take to heed a
     *         new version, less what answers take.
     *  @return True if no version that must be heeded by now can allow what the
     *          one in force denies. */
    [[nodiscard]] bool may_deny(std::uint64_t own_version, duration max_age,
                                time_point now) const;

private:
    mutable std::mutex mutex_;
    config_evidence evidence_;
};

} // namespace rosemarydeck
