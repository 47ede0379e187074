/** @file control_presence.cpp Heartbeats and the list of live VMs. */
#include "gateway/control_service_base.hpp"

#include "platform/platform_name_func.hpp"
#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

/** A third of the time without heartbeat after which a VM counts as gone. */
constexpr auto heartbeat_interval = milliseconds(8'000);
/** Interval at which the numbers of store calls are logged. */
constexpr auto call_summary_interval = milliseconds(20'000);
/** Interval at which the other VMs' heartbeats are read. */
constexpr auto presence_poll_interval = milliseconds(4'000);

/** @return What a VM says of itself, or why the entry isn't that of a VM. */
tl::expected<vm_presence, std::string>
decode_presence(const platform::store_object& object)
{
    try {
        auto entry = object.spec.get<vm_presence>();
        if (entry.run.value().empty())
            return tl::unexpected(
                std::string("the entry names no run of a VM"));
        return entry;
    }
    catch (const nlohmann::json::exception& fault) {
        return tl::unexpected(std::string(fault.what()));
    }
}

} // namespace

void control_service::run_presence()
{
    auto next_heartbeat = clock_.now();
    while (!closing_) {
        if (clock_.now() >= next_heartbeat && send_heartbeat())
            next_heartbeat = clock_.now() + heartbeat_interval;
        const auto live_before = presence_.live_vms(clock_.now());
        const auto relays_before = relays();
        refresh_presence();
        if (relays_before != relays())
            publish_view();
        if (live_before != presence_.live_vms(clock_.now())) {
            log_.write("fleet_size", {{"vms", presence_.live_vms(clock_.now())},
                                      {"before", live_before}});
            publish_view();
        }
        remove_expired_vms();
        log_store_calls();
        fiber_sleep(io_, presence_poll_interval);
    }
}

bool control_service::send_heartbeat()
{
    ++own_presence_.beat;
    return write_own_object(platform::presence_kind,
                            nlohmann::json(own_presence_), presence_revision_);
}

bool control_service::write_own_object(const char* kind,
                                       const nlohmann::json& spec,
                                       std::uint64_t& revision)
{
    // The first attempt may conflict with the object of an earlier run; the
    // answer holds the revision for the second.
    for (int attempt = 0; attempt < 2; ++attempt) {
        store_.await_reachable();
        const auto reply = store_.call(platform::write_call(
            kind, options_.settings.vm.value(), spec, revision));
        if (!reply)
            return false;
        const auto answer = platform::decode_write(reply->status, reply->body);
        if (!answer)
            return false;
        revision = answer->object ? answer->object->revision : 0;
        store_.record_revision(revision);
        if (answer->done)
            return true;
    }
    return false;
}

void control_service::refresh_presence()
{
    const auto objects = list_all(platform::presence_kind, true);
    if (!objects)
        return;
    std::map<vm_id, vm_presence> entries;
    for (const auto& object : objects->objects) {
        auto entry = decode_presence(object);
        if (entry)
            entries[vm_id(object.name)] = *std::move(entry);
        else
            log_.write("presence_unreadable",
                       {{"vm", object.name}, {"why", entry.error()}});
    }
    presence_.update(entries, clock_.now());
    std::vector<fleet_vm> fleet{self()};
    for (const auto& [vm, entry] : presence_.live(clock_.now()))
        if (entry.port != 0 && vm != options_.settings.vm)
            fleet.push_back({vm, entry.data_centre, entry.address, entry.port,
                             entry.cores});
    credit_service_.update_fleet(std::move(fleet),
                                 config_ ? budgeted_customers()
                                         : std::vector<customer_id>{});
    join_home_shards();
}

std::vector<relay_peer> control_service::relays() const
{
    std::vector<relay_peer> result;
    for (const auto& [vm, entry] : presence_.live(clock_.now()))
        if (vm != options_.settings.vm && entry.relay_port != 0 &&
            !entry.out_of_rotation)
            result.push_back(
                {vm, entry.data_centre, entry.address, entry.relay_port});
    return result;
}

void control_service::log_store_calls()
{
    if (clock_.now() < next_call_summary_)
        return;
    next_call_summary_ = clock_.now() + call_summary_interval;
    log_.write("store_calls",
               {{"lists", metrics_.value(counter::store_lists)},
                {"watches", metrics_.value(counter::store_watches)},
                {"reads", metrics_.value(counter::store_reads)},
                {"writes", metrics_.value(counter::store_writes)},
                {"failed", metrics_.value(counter::store_failures)}});
    log_syncs();
}

void control_service::leave_fleet()
{
    if (store_.down())
        return;
    // With the entry removed, other VMs request credit elsewhere at once. If
    // the removal fails they do so when the missing heartbeats expire it.
    const auto reply = store_.call(platform::remove_call(
        platform::presence_kind, options_.settings.vm.value()));
    if (!reply)
        log_.write("presence_left", {{"why", describe(reply.error().cause)}});
}

void control_service::remove_expired_vms()
{
    for (const auto& vm : presence_.removable(clock_.now())) {
        if (!platform::fits_in_path(vm.value()))
            continue;
        log_.write("vm_forgotten", {{"vm", vm.value()}});
        for (const auto* kind : {platform::presence_kind, platform::report_kind,
                                 platform::stream_kind}) {
            store_.await_reachable();
            // The next pass, or another VM, retries a removal that fails.
            if (!store_.call(platform::remove_call(kind, vm.value())))
                return;
        }
    }
}

} // namespace rosemarydeck
