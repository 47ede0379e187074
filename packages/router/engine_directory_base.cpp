/** @file engine_directory_base.cpp Which engines may be given work. */
#include "router/engine_directory_base.hpp"

#include <set>

namespace rosemarydeck
{

engine_directory::engine_directory(directory_options options)
    : options_(options)
{
}

void engine_directory::replace(const std::vector<engine_info>& entries,
                               time_point now)
{
    std::set<server_id> listed;
    for (const auto& one : entries) {
        listed.insert(one.id);
        put(one);
    }
    std::vector<server_id> vanished;
    for (const auto& [id, known] : entries_)
        if (!listed.count(id))
            vanished.push_back(id);
    for (const auto& id : vanished)
        erase(id, now);
}

void engine_directory::put(engine_info info)
{
    const auto id = info.id;
    entries_[id] = entry{std::move(info), std::nullopt};
}

void engine_directory::erase(const server_id& id, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    // An engine that announced its leaving before it vanished is gone.
    if (now >= grace_until_ || found->second.info.draining)
        entries_.erase(found);
    else if (!found->second.drop_at)
        found->second.drop_at = grace_until_;
}

void engine_directory::record_outage_end(time_point now)
{
    grace_until_ = now + options_.lapse_grace;
}

bool engine_directory::expire(time_point now)
{
    return std::erase_if(entries_, [&](const auto& one) {
               return one.second.drop_at && *one.second.drop_at <= now;
           }) > 0;
}

std::map<service_id, std::vector<engine_info>> engine_directory::usable() const
{
    std::map<service_id, std::vector<engine_info>> result;
    for (const auto& [id, known] : entries_)
        if (!known.info.draining)
            result[known.info.service].push_back(known.info);
    return result;
}

} // namespace rosemarydeck
