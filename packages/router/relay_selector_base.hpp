/** @file relay_selector_base.hpp Choice of the VM that serves a request for one
 *  that reaches no engine. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <span>

namespace rosemarydeck
{

/** Result of passing a request on to another VM. */
enum class relay_outcome
{
    answered,    ///< It answered, with any status.
    no_engine,   ///< It reaches no engine either; the request did not run.
    unreachable, ///< No connection could be opened.
    broken,      ///< No whole answer arrived; the request may have run.
};

/** @return The outcome's name in logs. */
const char* name_of(relay_outcome outcome);

/** Times of the choice of another VM. */
struct relay_options
{
    /** Time for which a VM that could not serve a request gets no others. It
     *  doubles with each such request in a row, up to max_cooldown. */
    duration cooldown = milliseconds(500);
    duration max_cooldown = milliseconds(4'000);
};

/**
 * Chooses other VMs for requests. Spreads the requests over them, and avoids
 * data centres whose VMs could not serve one: a cut often concerns all VMs of
 * a data centre.
 */
class relay_selector
{
public:
    explicit relay_selector(relay_options options = {}) : options_(options) {}

    /** Chooses a VM and counts the request as open there.
     *  @param tried VMs that must not be chosen.
     *  @return None if there is none, or if all failed within cooldown. */
    std::optional<relay_peer> choose(std::span<const relay_peer> peers,
                                     const std::set<vm_id>& tried,
                                     time_point now);
    /** Ends a request that choose() counted as open. */
    void release(const relay_peer& peer, relay_outcome outcome, time_point now);

private:
    struct record
    {
        std::uint32_t open = 0;
        std::uint32_t failures = 0; ///< In a row.
        time_point failed_at{};
    };

    [[nodiscard]] duration cooldown_of(const record& known) const;
    [[nodiscard]] std::optional<relay_peer>
    choose_among(std::span<const relay_peer> peers,
                 const std::set<vm_id>& tried, time_point now, bool all);

    relay_options options_;
    std::map<vm_id, record> records_;
    std::map<dc_id, time_point> failures_; ///< End of the avoidance.
    std::uint64_t choice_count_ = 0;       ///< Decides between equal VMs.
};

} // namespace rosemarydeck
