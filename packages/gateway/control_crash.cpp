/** @file control_crash.cpp Shares which requests crash engines. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Time between tries to tell the others, while the store is away. */
constexpr auto retry_pause = milliseconds(300);

} // namespace

void control_service::note_crash(const request_fingerprint& request,
                                 const server_id& engine)
{
    log_.write("crash_seen",
               {{"request", request.value()}, {"engine", engine.value()}});
    crashes_.record_crash(request, engine, clock_.now());
    crashes_changed();
}

void control_service::clear_crash(const request_fingerprint& request)
{
    log_.write("crash_cleared", {{"request", request.value()}});
    crashes_.clear(request);
    crashes_changed();
}

void control_service::apply_crashes(const platform::store_event& event)
{
    const vm_id vm(event.object.name);
    try {
        auto told =
            event.removed ? vm_crashes{} : event.object.spec.get<vm_crashes>();
        if (vm != options_.settings.vm)
            crashes_.replace_peer_crashes(vm, std::move(told.requests),
                                          clock_.now());
        else if (!std::exchange(own_crashes_read_, true))
            for (const auto& [request, engines] : told.requests)
                for (const auto& engine : engines)
                    crashes_.record_crash(request, engine, clock_.now());
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("crashes_unreadable",
                   {{"vm", vm.value()}, {"why", fault.what()}});
    }
    note_blocked();
}

void control_service::crashes_changed()
{
    note_blocked();
    // One fiber tells the others; it takes in what is noted meanwhile.
    crashes_untold_ = true;
    if (std::exchange(telling_crashes_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        tell_crashes();
    }).detach();
}

void control_service::tell_crashes()
{
    while (std::exchange(crashes_untold_, false)) {
        own_crashes_read_ = true;
        const vm_crashes seen{crashes_.own(clock_.now())};
        if (put_own(platform::crash_kind, nlohmann::json(seen),
                    crash_revision_))
            continue;
        crashes_untold_ = true;
        fiber_sleep(io_, retry_pause);
    }
    telling_crashes_ = false;
}

void control_service::note_blocked()
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
    publish();
}

} // namespace rosemarydeck
