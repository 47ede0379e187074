/** @file confirmer_selector_base.hpp Choice of the VMs that are asked whether
 *  the configuration in force is the newest. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <map>
#include <span>

namespace rosemarydeck
{

/** Times and numbers of the questions to other VMs. */
struct confirmer_options
{
    /** Time for which a VM that could not confirm is not asked again. */
    duration cooldown = milliseconds(4'000);
    /** VMs that are asked, one after the other, while the store is lost. */
    std::size_t max_vms = 2;
};

/**
 * Decides who is asked before a request is denied for its route or key. Each
 * VM of a large fleet gets such requests, and a call to the store for each is
 * dear, so the VMs of a data centre ask the first of them by name, whose answer
 * from the store serves them all. While the store is out of reach for this VM
 * alone, any other VM may know.
 */
class confirmer_selector
{
public:
    explicit confirmer_selector(confirmer_options options = {})
        : options_(options)
    {
    }

    /** @param self This VM, in the data centre.
     *  @return The VMs to ask, in turn, before the store; none if the store is
     *          asked at once. */
    [[nodiscard]] std::vector<relay_peer>
    choose(std::span<const relay_peer> peers, const vm_id& self,
           const dc_id& data_centre, bool store_reached, time_point now);
    /** Records that a VM gave no confirmation. */
    void record_failure(const vm_id& vm, time_point now);

private:
    [[nodiscard]] bool failed_lately(const vm_id& vm, time_point now) const;

    confirmer_options options_;
    std::map<vm_id, time_point> failures_;
    std::uint64_t question_count_ = 0; ///< Decides between equal VMs.
};

} // namespace rosemarydeck
