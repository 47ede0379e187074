/** @file engine_directory_base.cpp Directory of the listed engines. */
#include "router/engine_directory_base.hpp"

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
        put(one, now);
    }
    std::vector<server_id> missing;
    for (const auto& [id, known] : entries_)
        if (!listed.count(id))
            missing.push_back(id);
    for (const auto& id : missing)
        erase(id, now);
}

void engine_directory::put(engine_info info, time_point now)
{
    const auto id = info.id;
    const auto cold_until = now + duration(info.cold_for);
    entries_[id] = entry{std::move(info), std::nullopt, cold_until};
}

void engine_directory::erase(const server_id& id, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    // A draining engine stops on purpose and doesn't register again.
    if (now >= grace_period_end_ || found->second.info.draining)
        entries_.erase(found);
    else if (!found->second.drop_at)
        found->second.drop_at = grace_period_end_;
}

void engine_directory::record_outage_end(time_point now)
{
    grace_period_end_ = now + options_.reregistration_grace_period;
}

bool engine_directory::expire(time_point now)
{
    return std::erase_if(entries_, [&](const auto& one) {
               return one.second.drop_at && *one.second.drop_at <= now;
           }) > 0;
}

void engine_directory::set_evacuated(std::set<dc_id> data_centres,
                                     time_point now)
{
    for (const auto& data_centre : evacuated_)
        if (data_centres.count(data_centre) == 0)
            returned_at_[data_centre] = now;
    evacuated_ = std::move(data_centres);
}

std::map<server_id, cold_engine>
engine_directory::cold(const std::vector<service_rule>& services,
                       time_point now) const
{
    std::map<server_id, cold_engine> result;
    for (const auto& service : services) {
        if (service.cold_requests_per_s <= 0)
            continue;
        for (const auto& [id, known] : entries_) {
            if (known.info.service != service.id)
                continue;
            auto until = known.cold_until;
            const auto returned = returned_at_.find(known.info.data_centre);
            if (returned != returned_at_.end())
                until = std::max(until, returned->second +
                                            duration(service.cold_start));
            if (until > now)
                result[known.info.incarnation()] = {service.cold_requests_per_s,
                                                    until};
        }
    }
    return result;
}

std::map<service_id, std::vector<engine_info>> engine_directory::usable() const
{
    std::map<service_id, std::vector<engine_info>> result;
    for (const auto& [id, known] : entries_)
        if (!known.info.draining &&
            evacuated_.count(known.info.data_centre) == 0)
            result[known.info.service].push_back(known.info);
    return result;
}

std::set<stream_origin> engine_directory::origins() const
{
    std::set<stream_origin> result;
    for (const auto& [id, known] : entries_)
        if (!known.info.draining)
            result.insert({known.info.service, known.info.software});
    return result;
}

} // namespace rosemarydeck
