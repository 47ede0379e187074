/** @file server_directory_base.cpp Backend servers and the choice of one. */
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
        // A server that has left and is listed as staying again is new.
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
    known.reported = now;
    known.mine_at_report = known.outstanding;
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
    known.pause = known.pause == duration{}
                      ? options_.initial_failure_backoff
                      : std::min(known.pause * 2, options_.max_failure_backoff);
    known.paused_until = now + known.pause;
}

void server_directory::record_success(const server_id& server)
{
    servers_[server].pause = duration{};
}

void server_directory::set_vm_count(std::int64_t count)
{
    options_.sharing_vms = std::max<std::int64_t>(count, 1);
}

std::optional<server_id>
server_directory::choose(const server_requirements& wish, time_point now) const
{
    for (const bool here : {true, false}) {
        std::vector<std::string> names;
        for (const auto& [id, server] : servers_) {
            const bool is_here = server.entry.data_centre == wish.data_centre;
            const bool excluded =
                std::find(wish.excluded.begin(), wish.excluded.end(), id) !=
                wish.excluded.end();
            if (is_here == here && !excluded &&
                usable(server, wish.target, now) && room(server, now) > 0)
                names.push_back(id.value());
        }
        if (names.empty())
            continue;
        const auto order =
            rendezvous_order(std::to_string(wish.prefix_hash), names);
        const server_id first(names[order[0]]);
        if (order.size() == 1)
            return first;
        const server_id second(names[order[1]]);
        const auto room_first = room(servers_.at(first), now);
        const auto room_second = room(servers_.at(second), now);
        return room_second > 2 * room_first ? second : first;
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
    return !server.leaving && now >= server.paused_until &&
           std::find(targets.begin(), targets.end(), target) != targets.end();
}

std::int64_t server_directory::room(const record& server, time_point now) const
{
    const auto slots = server.entry.slots;
    const bool fresh = server.reported != time_point{} &&
                       now - server.reported <= options_.load_report_ttl;
    if (!fresh) {
        // Blind: keep to this VM's share of the slots.
        const auto share =
            (slots + options_.sharing_vms - 1) / options_.sharing_vms;
        return share - server.outstanding;
    }
    const auto others = std::max<std::int64_t>(
        server.load.running + server.load.waiting - server.mine_at_report, 0);
    return slots - others - server.outstanding;
}

} // namespace rosemarydeck
