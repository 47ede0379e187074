/** @file relay_selector_base.cpp Choice of the VM that serves a request for one
 *  that reaches no engine. */
#include "router/relay_selector_base.hpp"

#include "common/hash_func.hpp"

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

std::optional<relay_peer>
relay_selector::choose(std::span<const relay_peer> peers,
                       const std::set<vm_id>& tried, time_point now)
{
    const relay_peer* best = nullptr;
    std::tuple<bool, std::uint32_t, std::uint64_t> best_order;
    ++choice_count_;
    for (const auto& peer : peers) {
        const auto& known = records_[peer.vm];
        if (tried.count(peer.vm) || known.cooldown_end > now)
            continue;
        const auto failed = failures_.find(peer.data_centre);
        const std::tuple order(
            failed != failures_.end() && failed->second > now, known.open,
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
        known.cooldown_end = {};
        failures_.erase(peer.data_centre);
        return;
    }
    known.cooldown_end = now + options_.cooldown;
    if (outcome == relay_outcome::no_engine)
        failures_[peer.data_centre] = now + options_.cooldown;
}

} // namespace rosemarydeck
