/** @file control_stream.cpp Where streams began, shared between the VMs. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Interval at which the report is checked for what is not published yet. */
constexpr auto report_poll_interval = milliseconds(100);
/** Pause before the entries are read again after a failure. */
constexpr auto read_retry_delay = milliseconds(100);

} // namespace

bool control_service::read_stream_reports(bool restore_own)
{
    const auto objects = list_all(platform::stream_kind, false);
    if (!objects)
        return false;
    std::map<vm_id, stream_report> peers;
    for (const auto& object : objects->objects) {
        const vm_id vm(object.name);
        try {
            auto report = object.spec.get<stream_report>();
            if (vm != options_.settings.vm)
                peers.emplace(vm, std::move(report));
            else if (restore_own)
                streams_.restore(report, clock_.now());
        }
        catch (const nlohmann::json::exception& fault) {
            log_.write("streams_unreadable",
                       {{"vm", vm.value()}, {"why", fault.what()}});
        }
    }
    streams_.replace_peers(std::move(peers));
    return true;
}

void control_service::run_streams()
{
    // The first report must keep what the previous run of this VM published.
    while (!read_stream_reports(true))
        fiber_sleep(io_, read_retry_delay);
    streams_loaded_ = true;
    while (true) {
        if (engines_loaded_)
            publish_streams();
        fiber_sleep(io_, report_poll_interval);
    }
}

void control_service::publish_streams()
{
    const auto report = streams_.take_due_report(
        presence_.live_vms(clock_.now()), options_.settings.store_writes_per_s,
        clock_.now());
    if (!report)
        return;
    if (!write_own_object(platform::stream_kind, nlohmann::json(*report),
                          stream_revision_))
        return;
    streams_.record_published(*report, clock_.now());
    if (!std::exchange(streams_published_, true))
        log_.write("streams_published", {{"origins", report->origins.size()},
                                         {"streams", report->streams.size()}});
}

void control_service::find_origin(std::shared_ptr<origin_lookup> lookup)
{
    origin_lookups_.push_back(std::move(lookup));
    if (std::exchange(finding_origins_, true))
        return;
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        find_origins();
    }).detach();
}

void control_service::find_origins()
{
    while (!origin_lookups_.empty()) {
        const auto lookups = std::exchange(origin_lookups_, {});
        // Only entries that are read after the client asked name every version
        // at which its stream may have begun.
        const bool read =
            streams_loaded_ && !store_.down() && read_stream_reports(false);
        for (const auto& lookup : lookups) {
            if (read)
                lookup->origin =
                    streams_.resolve(lookup->stream, lookup->service);
            log_.write(
                "stream_looked_up",
                {{"stream", lookup->stream.value()},
                 {"service", lookup->service.value()},
                 {"read", read ? 1 : 0},
                 {"software",
                  lookup->origin ? lookup->origin->software.value() : ""}});
            lookup->done = true;
        }
    }
    finding_origins_ = false;
}

} // namespace rosemarydeck
