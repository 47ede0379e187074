/** @file config_poll_base.hpp When a VM asks which other VM for the
 *  configuration. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <span>

namespace rosemarydeck
{

/** Times and numbers of the questions to other VMs. */
struct config_poll_options
{
    /** Pause between two questions while the store is out of reach. */
    duration pause = milliseconds(500);
    /** Pause while another VM is known to have a newer version. */
    duration urgent_pause = milliseconds(50);
    /** Questions after which a newer version is no longer urgent. */
    std::uint32_t urgent_questions = 10;
    /** Longest pause between the questions after those, each pause twice the
     *  one before. The store has been asked as well. */
    duration max_pause = milliseconds(8'000);
};

/**
 * Decides when to ask another VM for its configuration. The store may be out of
 * reach for this VM alone, and the load balancer and other VMs mix requests
 * that are served by different versions then.
 */
class config_poll
{
public:
    explicit config_poll(config_poll_options options = {}) : options_(options)
    {
    }

    /** Records that another VM uses a version. */
    void record_version(std::uint64_t version, const vm_id& vm);
    /** Chooses the VM to ask now; the next question follows after a pause.
     *  @param own_version Version in force here; 0 if none.
     *  @param store_reached False if the store can't tell of changes.
     *  @return None if there is nothing to ask, or nobody. */
    std::optional<relay_peer> choose(std::span<const relay_peer> peers,
                                     std::uint64_t own_version,
                                     bool store_reached, time_point now);

private:
    config_poll_options options_;
    std::uint64_t newest_ = 0; ///< Highest version known of another VM.
    vm_id holder_;             ///< The VM that uses it.
    std::uint32_t urgent_left_ = 0;
    duration later_pause_{}; ///< Before the next question that isn't urgent.
    time_point next_question_{};
    std::uint64_t question_count_ = 0; ///< Decides between equal VMs.
};

} // namespace rosemarydeck
