/** @file control_crash.cpp Shares which requests crash engines. */
#include "gateway/control_service_base.hpp"

namespace rosemarydeck
{

void control_service::note_crash(const request_fingerprint& request,
                                 const server_id& engine)
{
    log_.write("crash_seen",
               {{"request", request.value()}, {"engine", engine.value()}});
    crashes_.note(request, engine, clock_.now());
    share_crashes();
    renew_soon();
}

void control_service::clear_crash(const request_fingerprint& request)
{
    log_.write("crash_cleared", {{"request", request.value()}});
    crashes_.clear(request);
    share_crashes();
}

void control_service::share_crashes()
{
    crashed_engines others;
    for (const auto& [request, crash] : keeper_.current().crashes)
        for (const auto& [engine, vm] : crash.engines)
            if (vm != options_.settings.vm)
                others[request].insert(engine);
    crashes_.take_others(std::move(others));
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
