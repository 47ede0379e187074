/** @file control_crash.cpp Crash records, shared between the VMs. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Pause before a failed write of the crash record is retried. */
constexpr auto publish_retry_delay = milliseconds(300);
/** How long this VM's entry may list crashes that have expired. */
constexpr auto max_outdated_time = milliseconds(60'000);

/** @return The names of traits, joined by "+". */
template <class Traits>
std::string join(const Traits& traits)
{
    std::string text;
    for (const auto& trait : traits)
        text += (text.empty() ? "" : "+") + trait.value();
    return text;
}

} // namespace

void control_service::report_crash(const crash_sighting& sighting)
{
    for (const auto& trait : sighting.traits)
        log_.write("crash_seen", {{"request", trait.value()},
                                  {"engine", sighting.engine.value()}});
    crashes_.record_crash(sighting, clock_.now());
    on_crashes_changed();
}

void control_service::report_suspect_served(
    const std::vector<request_trait>& traits, time_point answer_began)
{
    if (!crashes_.record_served(traits, answer_began, clock_.now()))
        return;
    log_.write("crash_cleared", {{"request", join(traits)}});
    on_crashes_changed();
}

void control_service::report_crashing_refused(
    const std::vector<request_trait>& traits)
{
    crashes_.record_refused(traits, clock_.now());
}

void control_service::apply_crashes(const platform::store_event& event)
{
    const vm_id vm(event.object.name);
    bool publish = false;
    try {
        auto published =
            event.removed ? vm_crashes{} : event.object.spec.get<vm_crashes>();
        if (vm != options_.settings.vm)
            publish = crashes_.replace_peer_crashes(vm, std::move(published),
                                                    clock_.now());
        else if (!std::exchange(own_crashes_read_, true))
            crashes_.restore_own(published, clock_.now());
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("crashes_unreadable",
                   {{"vm", vm.value()}, {"why", fault.what()}});
    }
    if (publish)
        on_crashes_changed();
}

void control_service::on_crashes_changed()
{
    update_blocked();
    // At most one fiber publishes; it includes what is recorded meanwhile.
    crashes_unpublished_ = true;
    if (std::exchange(publishing_crashes_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        publish_crashes();
    }).detach();
}

void control_service::publish_crashes()
{
    while (std::exchange(crashes_unpublished_, false)) {
        own_crashes_read_ = true;
        const auto seen = crashes_.own();
        if (write_own_object(platform::crash_kind, nlohmann::json(seen),
                             crash_revision_)) {
            published_crashes_ = seen;
            crashes_published_at_ = clock_.now();
            crashes_.mark_published();
            fiber_sleep(io_, intervals_.between_crash_writes);
            continue;
        }
        crashes_unpublished_ = true;
        fiber_sleep(io_, publish_retry_delay);
    }
    publishing_crashes_ = false;
}

void control_service::withdraw_old_crashes()
{
    if (publishing_crashes_ || published_crashes_ == vm_crashes{} ||
        clock_.now() < crashes_published_at_ + max_outdated_time ||
        crashes_.own() == published_crashes_)
        return;
    on_crashes_changed();
}

void control_service::update_blocked()
{
    crashes_.update(clock_.now());
    auto suspected = crashes_.suspected();
    if (crashes_.blocked() == blocked_ && suspected == suspected_)
        return;
    log_blocked(crashes_.blocked());
    blocked_ = crashes_.blocked();
    suspected_ = std::move(suspected);
    publish_view();
}

void control_service::log_blocked(const std::vector<trait_combination>& blocked)
{
    const auto log_missing = [&](const char* event, const auto& from,
                                 const auto& in) {
        for (const auto& one : from)
            if (std::find(in.begin(), in.end(), one) == in.end())
                log_.write(event, {{"request", join(one)}});
    };
    log_missing("request_blocked", blocked, blocked_);
    log_missing("request_unblocked", blocked_, blocked);
}

} // namespace rosemarydeck
