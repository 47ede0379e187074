/** @file membership_base.cpp Failure detector and ranking of instances. */
#include "member/membership_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

membership::membership(membership_options options)
    : options_(std::move(options))
{
    rebuild_live_instances();
}

std::vector<member_change> membership::record_heartbeat(const member_info& info,
                                                        time_point now)
{
    if (info.instance == options_.self.instance)
        return {};
    const auto [found, is_new] = members_.try_emplace(info.instance);
    auto& member = found->second;
    if (is_new) {
        member = {info, member_state::suspected, now, now, options_.probation};
        return set_state(member, member_state::live);
    }
    if (member.state == member_state::gone)
        return {};
    member.info = info;
    member.last_heartbeat = now;
    if (member.state == member_state::suspected) {
        member.probation_end = now + member.probation;
        member.probation =
            std::min(member.probation * 2, options_.max_probation);
        return set_state(member, member_state::probation);
    }
    if (member.state == member_state::probation && now >= member.probation_end)
        return set_state(member, member_state::live);
    return {};
}

std::vector<member_change> membership::suspect(const instance_id& instance)
{
    const auto found = members_.find(instance);
    if (found == members_.end() || found->second.state == member_state::gone)
        return {};
    return set_state(found->second, member_state::suspected);
}

std::vector<member_change> membership::mark_gone(const instance_id& instance)
{
    const auto found = members_.find(instance);
    if (found == members_.end())
        return {};
    return set_state(found->second, member_state::gone);
}

std::vector<member_change> membership::check_timeouts(time_point now)
{
    std::vector<member_change> changes;
    for (auto& [instance, member] : members_) {
        const bool monitored = member.state == member_state::live ||
                               member.state == member_state::probation;
        if (!monitored ||
            now - member.last_heartbeat < options_.suspect_timeout)
            continue;
        for (auto& change : set_state(member, member_state::suspected))
            changes.push_back(change);
    }
    return changes;
}

const member_info* membership::find(const instance_id& instance) const
{
    const auto found = members_.find(instance);
    return found == members_.end() ? nullptr : &found->second.info;
}

member_state membership::state_of(const instance_id& instance) const
{
    const auto found = members_.find(instance);
    return found == members_.end() ? member_state::gone : found->second.state;
}

bool membership::is_live(const instance_id& instance) const
{
    return instance == options_.self.instance ||
           state_of(instance) == member_state::live;
}

const std::vector<instance_id>&
membership::live_in(const dc_id& data_centre) const
{
    static const std::vector<instance_id> none;
    const auto found = live_instances_.find(data_centre);
    return found == live_instances_.end() ? none : found->second;
}

std::vector<instance_id> membership::members_in_own_data_centre() const
{
    std::vector<instance_id> peers;
    for (const auto& [instance, member] : members_)
        if (member.state != member_state::gone &&
            member.info.data_centre == options_.self.data_centre)
            peers.push_back(instance);
    return peers;
}

std::vector<instance_id> membership::known() const
{
    std::vector<instance_id> found;
    for (const auto& [instance, member] : members_)
        if (member.state != member_state::gone)
            found.push_back(instance);
    return found;
}

std::vector<member_info> membership::live_members() const
{
    std::vector<member_info> live;
    for (const auto& [instance, member] : members_)
        if (member.state == member_state::live)
            live.push_back(member.info);
    return live;
}

std::vector<dc_id> membership::live_data_centres() const
{
    std::vector<dc_id> found;
    for (const auto& [data_centre, instances] : live_instances_)
        found.push_back(data_centre);
    return found;
}

std::vector<instance_id> membership::ranking(std::string_view key,
                                             const dc_id& data_centre) const
{
    const auto& live = live_in(data_centre);
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const auto& instance : live) {
        const auto* member = find(instance);
        const auto& info = member == nullptr ? options_.self : *member;
        names.push_back(info.vm.value());
    }
    std::vector<instance_id> ranked;
    ranked.reserve(live.size());
    for (const auto index : rendezvous_order(key, names))
        ranked.push_back(live[index]);
    return ranked;
}

std::vector<member_change> membership::set_state(record& member,
                                                 member_state to)
{
    if (member.state == to)
        return {};
    member.state = to;
    rebuild_live_instances();
    return {{member.info.instance, to}};
}

void membership::rebuild_live_instances()
{
    live_instances_.clear();
    live_instances_[options_.self.data_centre].push_back(
        options_.self.instance);
    for (const auto& [instance, member] : members_)
        if (member.state == member_state::live)
            live_instances_[member.info.data_centre].push_back(instance);
    for (auto& [data_centre, instances] : live_instances_)
        std::sort(instances.begin(), instances.end());
    ++epoch_;
}

} // namespace rosemarydeck
