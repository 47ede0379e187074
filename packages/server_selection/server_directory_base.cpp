/** @file server_directory_base.cpp Directory and choice of backend servers. */
#include "server_selection/server_directory_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

server_directory::server_directory(server_selection_options options)
    : options_(options)
{
}

void server_directory::assign(const std::map<server_id, server_entry>& entries)
{
    for (const auto& [id, entry] : entries) {
        auto& server = servers_[id];
        // A server that was listed as leaving and no longer is counts as new.
        if (server.entry.leaving && !entry.leaving)
            server.leaving = false;
        server.entry = entry;
        server.leaving = server.leaving || entry.leaving;
    }
    for (auto& [id, server] : servers_)
        if (entries.find(id) == entries.end())
            server.leaving = true;
}

void server_directory::record_load(const server_id& server,
                                   const load_report& load, time_point now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return;
    auto& known = found->second;
    known.load = load;
    known.reported_at = now;
    known.outstanding_at_report = known.outstanding;
    known.leaving = known.leaving || load.leaving;
}

void server_directory::mark_leaving(const server_id& server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end())
        found->second.leaving = true;
}

void server_directory::record_start(const server_id& server)
{
    ++servers_[server].outstanding;
}

void server_directory::record_end(const server_id& server)
{
    auto& count = servers_[server].outstanding;
    count = std::max<std::int64_t>(count - 1, 0);
}

void server_directory::record_failure(const server_id& server, time_point now)
{
    auto& known = servers_[server];
    known.last_backoff =
        known.last_backoff == duration{}
            ? options_.initial_failure_backoff
            : std::min(known.last_backoff * 2, options_.max_failure_backoff);
    known.backoff_end = now + known.last_backoff;
}

void server_directory::record_success(const server_id& server)
{
    servers_[server].last_backoff = duration{};
}

void server_directory::set_vm_count(std::int64_t count)
{
    options_.vm_count = std::max<std::int64_t>(count, 1);
}

std::optional<server_id>
server_directory::choose(const server_requirements& requirements,
                         time_point now) const
{
    for (const bool preferred : {true, false}) {
        std::vector<std::string> names;
        for (const auto& [id, server] : servers_) {
            const bool is_preferred =
                server.entry.data_centre == requirements.data_centre;
            const bool excluded = std::find(requirements.excluded.begin(),
                                            requirements.excluded.end(),
                                            id) != requirements.excluded.end();
            if (is_preferred == preferred && !excluded &&
                usable(server, requirements.target, now) &&
                free_slots(server, now) > 0)
                names.push_back(id.value());
        }
        if (names.empty())
            continue;
        const auto order =
            rendezvous_order(std::to_string(requirements.prefix_hash), names);
        const server_id first(names[order[0]]);
        if (order.size() == 1)
            return first;
        const server_id second(names[order[1]]);
        const auto free_in_first = free_slots(servers_.at(first), now);
        const auto free_in_second = free_slots(servers_.at(second), now);
        return free_in_second > 2 * free_in_first ? second : first;
    }
    return std::nullopt;
}

bool server_directory::serves(const target_id& target, time_point now) const
{
    return std::any_of(
        servers_.begin(), servers_.end(),
        [&](const auto& entry) { return usable(entry.second, target, now); });
}

std::int64_t server_directory::slots_for(const target_id& target,
                                         time_point now) const
{
    std::int64_t slots = 0;
    for (const auto& [id, server] : servers_)
        if (usable(server, target, now))
            slots += server.entry.slots;
    return slots;
}

const server_entry* server_directory::find(const server_id& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second.entry;
}

bool server_directory::is_leaving(const server_id& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() || found->second.leaving;
}

std::int64_t server_directory::outstanding(const server_id& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.outstanding;
}

std::vector<server_id> server_directory::all() const
{
    std::vector<server_id> names;
    for (const auto& [id, server] : servers_)
        names.push_back(id);
    return names;
}

bool server_directory::usable(const record& server, const target_id& target,
                              time_point now) const
{
    const auto& targets = server.entry.targets;
    return !server.leaving && now >= server.backoff_end &&
           std::find(targets.begin(), targets.end(), target) != targets.end();
}

std::int64_t server_directory::free_slots(const record& server,
                                          time_point now) const
{
    const auto slots = server.entry.slots;
    const bool fresh = server.reported_at != time_point{} &&
                       now - server.reported_at <= options_.load_report_ttl;
    if (!fresh) {
        // The load is unknown: use this VM's share of the slots.
        const auto share = (slots + options_.vm_count - 1) / options_.vm_count;
        return share - server.outstanding;
    }
    // Requests of other VMs: those reported minus this VM's at that time.
    const auto others =
        std::max<std::int64_t>(server.load.running + server.load.waiting -
                                   server.outstanding_at_report,
                               0);
    return slots - others - server.outstanding;
}

} // namespace rosemarydeck
