/** @file engine_selector_notice.cpp What engines say of themselves, in their
 *  choice. */
#include "router/engine_notice_base.hpp"
#include "router/engine_selector_base.hpp"

#include <algorithm>
#include <cmath>

namespace rosemarydeck
{

std::optional<engine_notice>
engine_selector::record_limit(const engine_info& engine,
                              std::optional<double> limit_per_s,
                              time_point sent, time_point now)
{
    const auto* known = find_limit(engine);
    const auto known_limit =
        known == nullptr ? std::nullopt : known->notice.limit_per_s;
    if (!limit_per_s && !known_limit)
        return std::nullopt;
    // The answer to a request that was sent before this VM knew of the
    // limit may be older than the limit.
    if (!limit_per_s && known->learned > sent)
        return std::nullopt;
    if (limit_per_s && known_limit &&
        std::abs(*limit_per_s - *known_limit) <=
            options_.min_limit_change * *known_limit)
        return std::nullopt;
    const engine_notice notice{known == nullptr ? 1 : known->notice.version + 1,
                               limit_per_s};
    update_notice(engine.incarnation(), notice, now);
    return notice;
}

void engine_selector::record_brittle(const engine_info& engine,
                                     std::optional<double> bearable,
                                     bool refused, time_point now)
{
    if (!bearable && find(engine.id) == nullptr)
        return;
    records_[engine.id].brittle = bearable.has_value();
    if (!bearable || !refused)
        return;
    // This VM's part of the rejections that the engine bears in a second.
    const auto seconds =
        divisor() / std::max(options_.max_rejection_share * *bearable, 0.1);
    const auto rest = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    record_rest(engine.id, now + std::clamp(rest, options_.min_brittle_rest,
                                            options_.max_brittle_rest));
}

bool engine_selector::is_part_used(const engine_info& engine) const
{
    const auto* known = find(engine.id);
    return known != nullptr && known->brittle &&
           known->open >= std::max(1U, engine.slots / divisor());
}

void engine_selector::update_notice(const server_id& incarnation,
                                    const engine_notice& notice, time_point now)
{
    if (notice.leaving)
        departures_[incarnation] = now;
    const auto [known, added] =
        limits_.try_emplace(incarnation, request_limit{notice, now, {}});
    if (!added) {
        if (!supersedes(notice, known->second.notice))
            return;
        known->second.notice = notice;
        known->second.learned = now;
    }
    update_pace(known->second, now);
}

void engine_selector::update_pace(request_limit& limit, time_point now) const
{
    if (!limit.notice.limit_per_s)
        return limit.pace.reset();
    const pace_options options{.limit_per_s = *limit.notice.limit_per_s,
                               .vms = divisor(),
                               .rank = vm_rank_};
    if (!limit.pace || limit.pace->options() != options)
        limit.pace.emplace(options, now);
}

const engine_selector::request_limit*
engine_selector::find_limit(const engine_info& engine) const
{
    if (limits_.empty())
        return nullptr;
    const auto found = limits_.find(engine.incarnation());
    return found == limits_.end() ? nullptr : &found->second;
}

void engine_selector::update_cold(const std::map<server_id, cold_engine>& cold,
                                  time_point now)
{
    std::erase_if(cold_,
                  [&](const auto& one) { return cold.count(one.first) == 0; });
    for (const auto& [incarnation, state] : cold) {
        const pace_options options{.limit_per_s = state.requests_per_s,
                                   .vms = divisor(),
                                   .rank = vm_rank_};
        const auto [known, added] = cold_.try_emplace(
            incarnation, cold_limit{state, request_pace(options, now)});
        known->second.state = state;
        if (!added && known->second.pace.options() != options)
            known->second.pace = request_pace(options, now);
    }
}

void engine_selector::apply_view(const fleet_view& view, time_point now)
{
    if (view.live_vms != 0) {
        live_vms_ = view.live_vms;
        vm_rank_ = view.vm_rank;
    }
    for (const auto& [incarnation, notice] : view.notices)
        update_notice(incarnation, notice, now);
    for (auto& [incarnation, limit] : limits_)
        update_pace(limit, now);
    update_cold(view.cold, now);
    std::erase_if(departures_, [&](const auto& one) {
        return now - one.second > options_.departure_ttl;
    });
    std::set<server_id> listed;
    std::set<server_id> listed_incarnations;
    for (const auto& [service, engines] : view.engines)
        for (const auto& engine : engines) {
            listed.insert(engine.id);
            listed_incarnations.insert(engine.incarnation());
        }
    std::erase_if(records_, [&](const auto& one) {
        return one.second.open == 0 && one.second.rest_until <= now &&
               !listed.count(one.first);
    });
    std::erase_if(limits_, [&](const auto& one) {
        return !view.notices.count(one.first) &&
               !listed_incarnations.count(one.first);
    });
}

} // namespace rosemarydeck
