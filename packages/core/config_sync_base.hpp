/** @file config_sync_base.hpp Brings configuration to this VM. */
#pragma once

#include "core/core_context_base.hpp"

namespace rosemarydeck
{

/**
 * A few VMs of each data centre watch the platform; the others learn from
 * them, and all compare revisions with each heartbeat, so that a VM that
 * can't reach the platform learns from any peer.
 */
class config_sync
{
public:
    explicit config_sync(core_context& context);

    /** Starts or stops watching as the live set asks. */
    void on_members_changed();
    /** The watch is answered. */
    void on_answer(const platform_result& result);
    /** Time to watch again. */
    void on_timer();
    /** A peer tells its revision. */
    void on_heartbeat(const instance_id& from, object_version revision);
    /** A peer asks for what it lacks. */
    void on_pull(const instance_id& from, const config_pull& pull);
    /** A peer sends what this VM lacks. */
    void on_push(const instance_id& from, const config_push& push);
    /** @return True if this VM is to watch the platform. */
    [[nodiscard]] bool is_watcher() const;

private:
    void watch();
    void apply(const std::vector<platform_object>& objects,
               object_version revision);
    void spread(object_version since);

    core_context& context_;
    bool watching_ = false;
    bool timer_set_ = false;
    bool lost_ = false;
    unsigned failures_ = 0;
    time_point pulled_at_;
};

} // namespace rosemarydeck
