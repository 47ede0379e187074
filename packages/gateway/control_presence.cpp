/** @file control_presence.cpp Tells the fleet that this VM runs. */
#include "gateway/control_service_base.hpp"

#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

/** Time between two beats, a third of what a VM may be silent for. */
constexpr auto beat_every = milliseconds(8'000);
/** Time between two looks at the other VMs' beats. */
constexpr auto list_every = milliseconds(4'000);

} // namespace

void control_service::keep_presence()
{
    auto next_beat = clock_.now();
    while (!closing_) {
        if (clock_.now() >= next_beat && beat())
            next_beat = clock_.now() + beat_every;
        const auto known = presence_.live_vms(clock_.now());
        list_presence();
        if (known != presence_.live_vms(clock_.now())) {
            log_.write("fleet_size", {{"vms", presence_.live_vms(clock_.now())},
                                      {"before", known}});
            publish();
        }
        remove_forgotten();
        fiber_sleep(io_, list_every);
    }
}

bool control_service::beat()
{
    ++own_presence_.beat;
    return put_own(platform::presence_kind, nlohmann::json(own_presence_),
                   presence_revision_);
}

bool control_service::put_own(const char* kind, const nlohmann::json& spec,
                              std::uint64_t& revision)
{
    // The first try may meet an entry of an earlier run.
    for (int tries = 0; tries < 2; ++tries) {
        const auto turn = store_.await_turn();
        const auto reply = store_.call(platform::write_call(
            kind, options_.settings.vm.value(), spec, revision));
        if (!reply)
            return false;
        const auto result = platform::decode_write(reply->status, reply->body);
        if (!result)
            return false;
        revision = result->object ? result->object->revision : 0;
        if (result->done)
            return true;
    }
    return false;
}

void control_service::list_presence()
{
    const auto objects = list_all(platform::presence_kind, true);
    if (!objects)
        return;
    std::map<vm_id, vm_presence> entries;
    for (const auto& object : objects->objects) {
        try {
            entries[vm_id(object.name)] = object.spec.get<vm_presence>();
        }
        catch (const nlohmann::json::exception& fault) {
            log_.write("presence_unreadable",
                       {{"vm", object.name}, {"why", fault.what()}});
        }
    }
    presence_.update(entries, clock_.now());
    std::vector<fleet_vm> fleet{self()};
    for (const auto& [vm, entry] : presence_.live(clock_.now()))
        if (entry.port != 0 && vm != options_.settings.vm)
            fleet.push_back({vm, entry.data_centre, entry.address, entry.port,
                             entry.cores});
    credits_.take_fleet(std::move(fleet),
                        config_ ? budgeted() : std::vector<customer_id>{});
    join_own_parts();
}

void control_service::leave_fleet()
{
    if (store_.down())
        return;
    // Others then ask the next VM at once; without an answer they do so once
    // this one has been silent for long enough.
    const auto reply = store_.call(platform::remove_call(
        platform::presence_kind, options_.settings.vm.value()));
    if (!reply)
        log_.write("presence_left", {{"why", describe(reply.error().cause)}});
}

void control_service::remove_forgotten()
{
    for (const auto& vm : presence_.removable(clock_.now())) {
        log_.write("vm_forgotten", {{"vm", vm.value()}});
        for (const auto* kind :
             {platform::presence_kind, platform::crash_kind}) {
            const auto turn = store_.await_turn();
            // Another VM removes it too; what fails is tried again.
            if (!store_.call(platform::remove_call(kind, vm.value())))
                return;
        }
    }
}

} // namespace rosemarydeck
