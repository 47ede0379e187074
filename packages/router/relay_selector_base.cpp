/** @file relay_selector_base.cpp Choice of the VM that serves a request for one
 *  that reaches no engine. */
#include "router/relay_selector_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <tuple>

namespace rosemarydeck
{

const char* name_of(relay_outcome outcome)
{
    switch (outcome) {
    case relay_outcome::answered:
        return "answered";
    case relay_outcome::no_engine:
        return "no_engine";
    case relay_outcome::unreachable:
        return "unreachable";
    case relay_outcome::broken:
        return "broken";
    }
    return "unknown";
}

duration relay_selector::cooldown_of(const record& known) const
{
    if (known.failures == 0)
        return duration{};
    const auto shift = std::min<std::uint32_t>(known.failures - 1, 8);
    return std::min(options_.max_cooldown, options_.cooldown * (1U << shift));
}

std::optional<relay_peer>
relay_selector::choose(std::span<const relay_peer> peers,
                       const std::set<vm_id>& tried, time_point now)
{
    ++choice_count_;
    const auto chosen = choose_among(peers, tried, now, false);
    // The cut may have ended for all of them.
    return chosen ? chosen : choose_among(peers, tried, now, true);
}

std::optional<relay_peer>
relay_selector::choose_among(std::span<const relay_peer> peers,
                             const std::set<vm_id>& tried, time_point now,
                             bool all)
{
    const relay_peer* best = nullptr;
    std::tuple<bool, std::uint32_t, std::uint64_t> best_order;
    for (const auto& peer : peers) {
        const auto& known = records_[peer.vm];
        const auto wait = cooldown_of(known);
        if (tried.count(peer.vm) ||
            (known.failures > 0 &&
             known.failed_at +
                     (all ? std::min(wait, options_.cooldown) : wait) >
                 now))
            continue;
        const auto failed = failures_.find(peer.data_centre);
        const std::tuple order(
            failed != failures_.end() && failed->second > now,
            known.open + known.failures,
            mix_bits(stable_hash(peer.vm.value()) ^ mix_bits(choice_count_)));
        if (best == nullptr || order < best_order) {
            best = &peer;
            best_order = order;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    ++records_[best->vm].open;
    return *best;
}

void relay_selector::release(const relay_peer& peer, relay_outcome outcome,
                             time_point now)
{
    auto& known = records_[peer.vm];
    known.open -= known.open > 0 ? 1 : 0;
    if (outcome == relay_outcome::answered) {
        known.failures = 0;
        failures_.erase(peer.data_centre);
        return;
    }
    ++known.failures;
    known.failed_at = now;
    if (outcome == relay_outcome::no_engine)
        failures_[peer.data_centre] = now + options_.cooldown;
}

} // namespace rosemarydeck
