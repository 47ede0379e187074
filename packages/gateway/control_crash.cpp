/** @file control_crash.cpp Crash records, shared between the VMs. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Pause before a failed write of the crash record is retried. */
constexpr auto publish_retry_delay = milliseconds(300);

} // namespace

void control_service::report_crash(const request_fingerprint& request,
                                   const server_id& engine)
{
    log_.write("crash_seen",
               {{"request", request.value()}, {"engine", engine.value()}});
    crashes_.record_crash(request, engine, clock_.now());
    on_crashes_changed();
}

void control_service::report_suspect_served(const request_fingerprint& request)
{
    log_.write("crash_cleared", {{"request", request.value()}});
    crashes_.clear(request);
    on_crashes_changed();
}

void control_service::apply_crashes(const platform::store_event& event)
{
    const vm_id vm(event.object.name);
    try {
        auto published =
            event.removed ? vm_crashes{} : event.object.spec.get<vm_crashes>();
        if (vm != options_.settings.vm)
            crashes_.replace_peer_crashes(vm, std::move(published.requests),
                                          clock_.now());
        else if (!std::exchange(own_crashes_read_, true))
            for (const auto& [request, engines] : published.requests)
                for (const auto& engine : engines)
                    crashes_.record_crash(request, engine, clock_.now());
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("crashes_unreadable",
                   {{"vm", vm.value()}, {"why", fault.what()}});
    }
    update_blocked();
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
        const vm_crashes seen{crashes_.own(clock_.now())};
        if (write_own_object(platform::crash_kind, nlohmann::json(seen),
                             crash_revision_)) {
            fiber_sleep(io_, intervals_.between_crash_writes);
            continue;
        }
        crashes_unpublished_ = true;
        fiber_sleep(io_, publish_retry_delay);
    }
    publishing_crashes_ = false;
}

void control_service::update_blocked()
{
    auto blocked = crashes_.blocked(clock_.now());
    std::set<request_fingerprint> suspected;
    for (const auto& [request, engines] : crashes_.own(clock_.now()))
        suspected.insert(request);
    if (blocked == blocked_ && suspected == suspected_)
        return;
    for (const auto& request : blocked)
        if (!blocked_.count(request))
            log_.write("request_blocked", {{"request", request.value()}});
    blocked_ = std::move(blocked);
    suspected_ = std::move(suspected);
    publish_view();
}

} // namespace rosemarydeck
