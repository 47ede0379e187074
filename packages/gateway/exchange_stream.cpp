/** @file exchange_stream.cpp At which engines a stream may begin or go on. */
#include "gateway/exchange_base.hpp"

#include "common/hash_func.hpp"
#include "router/permitted_region_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Longest wait for the entries of the other VMs, and its poll interval. One
 *  read of the store answers all requests that wait. */
constexpr auto lookup_timeout = milliseconds(400);
constexpr auto lookup_poll_interval = milliseconds(4);
/** Retry-After where nothing tells at which version a stream began. The store
 *  may answer again by then. */
constexpr auto retry_after_unknown_origin = milliseconds(1'000);

} // namespace

service_id exchange::choose_service() const
{
    std::uint64_t total = 0;
    for (const auto& backend : route_->backends)
        total += backend.weight;
    if (total == 0)
        return route_->backends.front().service;
    // A stream that is taken up belongs to the service that began it.
    const auto& key = stream_.empty() ? request_head_.id : stream_.value();
    auto point = stable_hash(key) % total;
    for (const auto& backend : route_->backends) {
        if (point < backend.weight)
            return backend.service;
        point -= backend.weight;
    }
    return route_->backends.back().service;
}

bool exchange::find_stream_origin()
{
    if (route_->repeat != repeat_rule::stream || initial_event_id_ == 0)
        return true;
    origin_ = context_.streams.find(stream_);
    if (!origin_)
        origin_ = look_up_origin();
    const bool allowed =
        origin_ && std::any_of(route_->backends.begin(), route_->backends.end(),
                               [&](const auto& one) {
                                   return one.service == origin_->service;
                               });
    if (!allowed) {
        refuse(503, counter::refused_unknown_origin, "stream_origin_unknown",
               retry_after_unknown_origin);
        return false;
    }
    service_ = origin_->service;
    return true;
}

std::optional<stream_origin> exchange::look_up_origin()
{
    const auto lookup = std::make_shared<origin_lookup>();
    lookup->stream = stream_;
    lookup->service = service_;
    context_.control.find_origin(lookup);
    const auto wait_deadline =
        std::min(context_.clock.now() + duration(lookup_timeout), deadline_);
    while (!lookup->done && context_.clock.now() < wait_deadline &&
           !client_.closed())
        fiber_sleep(context_.io, lookup_poll_interval);
    return lookup->done ? lookup->origin : std::nullopt;
}

std::span<const engine_info>
exchange::eligible_engines(const std::vector<engine_info>& engines,
                           std::vector<engine_info>& storage) const
{
    const bool any_version = !origin_ && !route_->resumable_stream();
    if (any_version && !is_region_bound())
        return engines;
    const auto allowed = context_.streams.allowed();
    const auto is_eligible = [&](const engine_info& engine) {
        if (!may_enter(context_.settings.regions, *route_, customer_,
                       engine.data_centre))
            return false;
        if (origin_)
            return origin_->matches(engine);
        return any_version ||
               allowed->count({engine.service, engine.software}) > 0;
    };
    if (std::all_of(engines.begin(), engines.end(), is_eligible))
        return engines;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(storage),
                 is_eligible);
    return storage;
}

void exchange::record_stream_begun(const placement& chosen)
{
    if (!origin_)
        origin_ = stream_origin{chosen.engine.service, chosen.engine.software};
    if (stream_recorded_ || !route_->resumable_stream())
        return;
    stream_recorded_ = true;
    context_.streams.record_begun(stream_, *origin_);
}

} // namespace rosemarydeck
