/** @file confirmer_selector_base.cpp Choice of the VMs that are asked whether
 *  the configuration in force is the newest. */
#include "router/confirmer_selector_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

std::vector<relay_peer>
confirmer_selector::choose(std::span<const relay_peer> peers, const vm_id& self,
                           const dc_id& data_centre, bool store_reached,
                           time_point now)
{
    std::erase_if(failures_, [&](const auto& failed) {
        return failed.second + options_.cooldown <= now;
    });
    std::vector<relay_peer> able;
    for (const auto& peer : peers)
        if (!failed_lately(peer.vm, now) &&
            (!store_reached ||
             (peer.data_centre == data_centre && peer.vm < self)))
            able.push_back(peer);
    std::sort(
        able.begin(), able.end(),
        [](const auto& left, const auto& right) { return left.vm < right.vm; });
    if (!store_reached && !able.empty())
        std::rotate(able.begin(),
                    able.begin() + static_cast<std::ptrdiff_t>(
                                       question_count_++ % able.size()),
                    able.end());
    able.resize(std::min(able.size(), store_reached ? 1 : options_.max_vms));
    return able;
}

void confirmer_selector::record_failure(const vm_id& vm, time_point now)
{
    failures_[vm] = now;
}

bool confirmer_selector::failed_lately(const vm_id& vm, time_point now) const
{
    const auto failed = failures_.find(vm);
    return failed != failures_.end() &&
           failed->second + options_.cooldown > now;
}

} // namespace rosemarydeck
