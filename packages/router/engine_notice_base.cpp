/** @file engine_notice_base.cpp What engines say of themselves in answers. */
#include "router/engine_notice_base.hpp"

#include <algorithm>
#include <limits>

namespace rosemarydeck
{

namespace
{

/** Time for which the notices of an unlisted engine are kept. Its entry may
 *  lapse in an outage of the store and come back. */
constexpr auto unlisted_ttl = std::chrono::minutes(10);

} // namespace

bool supersedes(const engine_notice& notice, const engine_notice& other)
{
    constexpr auto unlimited = std::numeric_limits<double>::infinity();
    if (notice.version != other.version)
        return notice.version > other.version;
    return notice.limit_per_s.value_or(unlimited) <
           other.limit_per_s.value_or(unlimited);
}

engine_notice merged(const engine_notice& left, const engine_notice& right)
{
    auto result = supersedes(right, left) ? right : left;
    result.leaving = left.leaving || right.leaving;
    return result;
}

void notice_board::merge(const server_id& engine, const engine_notice& notice)
{
    auto& known = latest_.try_emplace(engine, notice).first->second;
    known = merged(known, notice);
    const auto own = own_.find(engine);
    if (own != own_.end() && notice != own->second &&
        merged(own->second, notice) == notice)
        own_.erase(own);
}

bool notice_board::record_own(const server_id& engine,
                              const engine_notice& notice)
{
    const auto known = latest_.find(engine);
    const auto after =
        known == latest_.end() ? notice : merged(known->second, notice);
    if (known != latest_.end() && after == known->second)
        return false;
    latest_[engine] = own_[engine] = after;
    return true;
}

bool notice_board::is_published(const server_id& engine) const
{
    const auto& latest = latest_.at(engine);
    const auto has = [&](const engine_notices& notices) {
        const auto found = notices.find(engine);
        return found != notices.end() && found->second == latest;
    };
    return has(own_) ||
           std::any_of(published_.begin(), published_.end(),
                       [&](const auto& one) { return has(one.second); });
}

bool notice_board::replace_peer(const vm_id& vm, engine_notices published)
{
    for (const auto& [engine, notice] : published)
        merge(engine, notice);
    const auto before = std::exchange(published_[vm], std::move(published));
    bool publish = false;
    for (const auto& [engine, notice] : before) {
        const auto known = latest_.find(engine);
        if (known == latest_.end() || is_published(engine))
            continue;
        own_[engine] = known->second;
        publish = true;
    }
    return publish;
}

void notice_board::drop_unlisted(const std::set<server_id>& listed,
                                 time_point now)
{
    for (const auto& [engine, notice] : latest_)
        if (listed.count(engine) || !last_listed_.count(engine))
            last_listed_[engine] = now;
    std::erase_if(last_listed_, [&](const auto& one) {
        if (now - one.second <= unlisted_ttl)
            return false;
        latest_.erase(one.first);
        own_.erase(one.first);
        return true;
    });
}

} // namespace rosemarydeck
