/** @file engine_notice_base.cpp What engines say of themselves in answers. */
#include "router/engine_notice_base.hpp"

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

void notice_board::merge(const server_id& engine, const engine_notice& notice)
{
    const auto [known, added] = latest_.try_emplace(engine, notice);
    if (!added && supersedes(notice, known->second))
        known->second = notice;
    const auto own = own_.find(engine);
    if (own != own_.end() && supersedes(latest_[engine], own->second))
        own_.erase(own);
}

bool notice_board::record_own(const server_id& engine,
                              const engine_notice& notice)
{
    const auto known = latest_.find(engine);
    if (known != latest_.end() && !supersedes(notice, known->second))
        return false;
    latest_[engine] = own_[engine] = notice;
    return true;
}

bool notice_board::replace_peer(const vm_id& vm, engine_notices published)
{
    for (const auto& [engine, notice] : published)
        merge(engine, notice);
    bool publish = false;
    for (const auto& [engine, notice] : published_[vm]) {
        const auto known = latest_.find(engine);
        if (published.count(engine) || known == latest_.end() ||
            known->second != notice)
            continue;
        own_[engine] = notice;
        publish = true;
    }
    published_[vm] = std::move(published);
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
