/** @file control_report.cpp What VMs learn of engines, shared between them. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Pause before a failed write of the report is retried. */
constexpr auto publish_retry_delay = milliseconds(300);
/** How long this VM's entry may list crashes that have expired. */
constexpr auto max_outdated_time = milliseconds(60'000);
/** Interval at which blocks are updated if nothing new is learned. */
constexpr auto block_update_interval = milliseconds(1'000);

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
    on_report_changed();
}

void control_service::report_suspect_served(
    const std::vector<request_trait>& traits, time_point answer_began)
{
    if (!crashes_.record_served(traits, answer_began, clock_.now()))
        return;
    log_.write("crash_cleared", {{"request", join(traits)}});
    on_report_changed();
}

void control_service::report_crashing_refused(
    const std::vector<request_trait>& traits)
{
    crashes_.record_refused(traits, clock_.now());
}

void control_service::report_trial(const trait_combination& combination)
{
    log_.write("block_tried", {{"request", join(combination)}});
    crashes_.record_trial(combination, clock_.now());
    update_blocked();
}

void control_service::report_notice(const server_id& engine,
                                    const engine_notice& notice)
{
    if (!notices_.record_own(engine, notice))
        return;
    publish_view();
    on_report_changed();
}

vm_report control_service::own_report() const
{
    return {crashes_.own(), notices_.own()};
}

void control_service::drop_old_notices()
{
    if (notices_.latest().empty())
        return;
    std::set<server_id> listed;
    for (const auto& [service, engines] : directory_.usable())
        for (const auto& engine : engines)
            listed.insert(engine.incarnation());
    notices_.drop_unlisted(listed, clock_.now());
}

void control_service::apply_report(const platform::store_event& event)
{
    const vm_id vm(event.object.name);
    bool publish = false;
    try {
        auto published =
            event.removed ? vm_report{} : event.object.spec.get<vm_report>();
        if (vm != options_.settings.vm) {
            const auto now = clock_.now();
            publish = crashes_.replace_peer_crashes(
                vm, std::move(published.crashes), now);
            publish |= notices_.replace_peer(vm, std::move(published.notices));
        }
        else if (!std::exchange(own_report_read_, true)) {
            crashes_.restore_own(published.crashes, clock_.now());
            for (const auto& [engine, notice] : published.notices)
                notices_.record_own(engine, notice);
        }
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("report_unreadable",
                   {{"vm", vm.value()}, {"why", fault.what()}});
    }
    if (publish)
        on_report_changed();
}

void control_service::schedule_update_blocked()
{
    if (std::exchange(update_scheduled_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        update_scheduled_ = false;
        update_blocked();
    }).detach();
}

void control_service::on_report_changed()
{
    schedule_update_blocked();
    // At most one fiber publishes; it includes what is recorded meanwhile.
    report_unpublished_ = true;
    if (std::exchange(publishing_report_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        publish_report();
    }).detach();
}

void control_service::publish_report()
{
    while (std::exchange(report_unpublished_, false)) {
        own_report_read_ = true;
        auto report = own_report();
        if (write_own_object(platform::report_kind, nlohmann::json(report),
                             report_revision_)) {
            published_report_ = std::move(report);
            report_published_at_ = clock_.now();
            crashes_.mark_published();
            fiber_sleep(io_, intervals_.between_crash_writes);
            continue;
        }
        report_unpublished_ = true;
        fiber_sleep(io_, publish_retry_delay);
    }
    publishing_report_ = false;
}

void control_service::withdraw_old_report()
{
    if (publishing_report_ || published_report_ == vm_report{} ||
        clock_.now() < report_published_at_ + max_outdated_time ||
        own_report() == published_report_)
        return;
    on_report_changed();
}

void control_service::update_blocked()
{
    next_block_update_ = clock_.now() + block_update_interval;
    crashes_.update(clock_.now());
    auto suspected = crashes_.suspected();
    // One VM of the fleet tries blocked requests.
    const auto now = clock_.now();
    auto trials = presence_.live_vms(now) > 0 && presence_.rank(now) == 0
                      ? crashes_.due_trials(now)
                      : std::vector<trait_combination>{};
    if (crashes_.blocked() == blocked_ && suspected == suspected_ &&
        trials == trials_)
        return;
    log_blocked(crashes_.blocked());
    blocked_ = crashes_.blocked();
    trials_ = std::move(trials);
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
