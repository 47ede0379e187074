/** @file config_sync_base.hpp Distribution of the fleet's configuration. */
#pragma once

#include "core/core_context_base.hpp"

namespace rosemarydeck
{

/**
 * Keeps this VM's configuration up to date. A few VMs of each data centre
 * watch the platform and push changes to the others. Heartbeats carry the
 * revision, so that a VM that can't reach the platform pulls newer
 * configuration from any peer.
 */
class config_sync
{
public:
    explicit config_sync(core_context& context);

    /** Starts to watch if the new live set makes this VM a watcher. */
    void on_members_changed();
    /** Handles the platform's answer to the watch. */
    void on_answer(const platform_result& result);
    /** Watches again after a pause. */
    void on_timer();
    /** Pulls from a peer whose revision is newer. */
    void on_heartbeat(const instance_id& from, object_version revision);
    /** Sends a peer the objects that it lacks. */
    void on_pull(const instance_id& from, const config_pull& pull);
    /** Applies objects that a peer has sent. */
    void on_push(const instance_id& from, const config_push& push);
    /** @return True if this VM is one of its data centre's watchers. */
    [[nodiscard]] bool is_watcher() const;

private:
    void watch();
    void apply(const std::vector<platform_object>& objects,
               object_version revision);
    /** Pushes objects changed since a revision to this data centre. */
    void push_changes(object_version since);

    core_context& context_;
    bool watching_ = false; ///< A watch is in flight.
    bool timer_set_ = false;
    bool platform_lost_ = false;
    unsigned failures_ = 0;
    time_point last_pull_at_;
};

} // namespace rosemarydeck
