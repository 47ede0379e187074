/** @file config_poll_base.cpp When a VM asks which other VM for the
 *  configuration. */
#include "router/config_poll_base.hpp"

#include "common/hash_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

void config_poll::record_version(std::uint64_t version, const vm_id& vm)
{
    if (version <= newest_)
        return;
    newest_ = version;
    holder_ = vm;
    urgent_left_ = options_.urgent_questions;
    later_pause_ = options_.pause;
    next_question_ = {};
}

std::optional<relay_peer> config_poll::choose(std::span<const relay_peer> peers,
                                              std::uint64_t own_version,
                                              bool store_reached,
                                              time_point now)
{
    const bool behind = newest_ > own_version;
    const bool urgent = behind && urgent_left_ > 0;
    if (peers.empty() || now < next_question_ || (!behind && store_reached))
        return std::nullopt;
    next_question_ = now + (urgent          ? options_.urgent_pause
                            : store_reached ? later_pause_
                                            : options_.pause);
    if (!urgent && store_reached)
        later_pause_ = std::min(2 * later_pause_, options_.max_pause);
    if (urgent) {
        --urgent_left_;
        const auto holder = std::find_if(
            peers.begin(), peers.end(),
            [this](const relay_peer& one) { return one.vm == holder_; });
        // Asked again by chance only: it may not answer.
        holder_ = {};
        if (holder != peers.end())
            return *holder;
    }
    return peers[mix_bits(++question_count_) % peers.size()];
}

} // namespace rosemarydeck
