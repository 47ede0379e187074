/** @file config_sync_base.cpp Distribution of the fleet's configuration. */
#include "core/config_sync_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

constexpr duration min_pull_interval = std::chrono::milliseconds(300);
/** Ranks the VMs of a data centre; the first ones are its watchers. */
const std::string watcher_ranking_key = "configuration watch";

} // namespace

config_sync::config_sync(core_context& context) : context_(context) {}

bool config_sync::is_watcher() const
{
    const auto ranked =
        context_.members.ranking(watcher_ranking_key, context_.data_centre());
    const auto count =
        std::min(ranked.size(), context_.options.watchers_per_data_centre);
    return std::find(ranked.begin(), ranked.begin() + std::ptrdiff_t(count),
                     context_.self()) != ranked.begin() + std::ptrdiff_t(count);
}

void config_sync::on_members_changed()
{
    if (is_watcher() && !watching_ && !timer_set_)
        watch();
}

void config_sync::watch()
{
    watching_ = true;
    // Without any configuration, the platform is asked to answer at once.
    const auto wait = context_.config.revision() == 0
                          ? duration{}
                          : context_.options.config_watch_timeout;
    context_.platform.call(
        config_purpose{},
        watch_objects{fleet_prefix, context_.config.revision(), wait});
}

void config_sync::on_answer(const platform_result& result)
{
    watching_ = false;
    if (!result) {
        if (!platform_lost_)
            context_.record(timeline_kind::platform_lost, {}, {},
                            result.error().text);
        platform_lost_ = true;
        timer_set_ = true;
        context_.schedule(context_.backoff(failures_++), config_timer{});
        return;
    }
    if (platform_lost_)
        context_.record(timeline_kind::platform_back);
    platform_lost_ = false;
    failures_ = 0;
    const auto since = context_.config.revision();
    apply(result->objects, result->revision);
    push_changes(since);
    if (!is_watcher())
        return;
    if (context_.config.revision() > 0)
        return watch();
    timer_set_ = true;
    context_.schedule(context_.options.initial_platform_backoff,
                      config_timer{});
}

void config_sync::on_timer()
{
    timer_set_ = false;
    if (is_watcher() && !watching_)
        watch();
}

void config_sync::apply(const std::vector<platform_object>& objects,
                        object_version revision)
{
    const auto changes = context_.config.apply(objects, revision);
    if (changes.empty())
        return;
    context_.servers.assign(context_.config.servers());
    for (const auto& change : changes) {
        const bool taken = change.fault.empty();
        context_.record(taken ? timeline_kind::config_in_force
                              : timeline_kind::config_rejected,
                        {}, {},
                        change.name + " version " +
                            std::to_string(change.version) +
                            (taken ? "" : ": " + change.fault));
    }
}

void config_sync::push_changes(object_version since)
{
    const auto objects = context_.config.changed_since(since);
    if (objects.empty())
        return;
    const config_push push{since, context_.config.revision(), objects};
    for (const auto& instance :
         context_.members.live_in(context_.data_centre()))
        if (instance != context_.self())
            context_.send(instance, push);
}

void config_sync::on_heartbeat(const instance_id& from, object_version revision)
{
    const bool pulled_recently =
        context_.now - last_pull_at_ < min_pull_interval;
    if (revision <= context_.config.revision() || pulled_recently)
        return;
    last_pull_at_ = context_.now;
    context_.send(from, config_pull{context_.config.revision()});
}

void config_sync::on_pull(const instance_id& from, const config_pull& pull)
{
    context_.send(from, config_push{pull.since, context_.config.revision(),
                                    context_.config.changed_since(pull.since)});
}

void config_sync::on_push(const instance_id&, const config_push& push)
{
    // The revision is valid only if no changes between this VM's revision
    // and the push are missing.
    const bool complete = push.since <= context_.config.revision();
    apply(push.objects, complete ? push.revision : 0);
}

} // namespace rosemarydeck
