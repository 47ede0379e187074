/** @file request_pace_base.hpp A VM's share of the requests that an engine
 * takes.
 */
#pragma once

#include "common/time_type.hpp"

#include <cstdint>

namespace rosemarydeck
{

/** How an engine's limit is divided among the VMs. */
struct pace_options
{
    /** Requests a second that the engine takes from all VMs together. */
    double limit_per_s = 1;
    std::uint32_t vms = 1;  ///< VMs that share the limit.
    std::uint32_t rank = 0; ///< Position of this VM among them, from 0.
    /** Part of the limit that is used. The rest is a margin for VMs that have
     *  started lately and aren't counted yet. */
    double usable_part = 0.9;
    /** Unused requests of all VMs that may come at once, and those of so many
     *  seconds. */
    double burst_requests = 2;
    double burst_seconds = 0.5;

    bool operator==(const pace_options&) const = default;
};

/**
 * Tells when this VM may send a request to an engine that limits the requests
 * of all VMs together. Each VM has one turn in a period, one VM after the
 * other by rank, so that the sum is even without messages between them. A turn
 * that is not used lapses after a time that doesn't grow with the number of
 * VMs: otherwise all of them might use saved turns at once.
 */
class request_pace
{
public:
    request_pace(const pace_options& options, time_point start);

    [[nodiscard]] const pace_options& options() const { return options_; }
    /** @return True if a request may be sent now. */
    [[nodiscard]] bool ready(time_point now) const;
    /** @return When the next request may be sent; now if ready. */
    [[nodiscard]] time_point next(time_point now) const;
    /** Uses a turn for a request. */
    void use(time_point now);

private:
    /** @return Number of the first turn that is neither used nor lapsed. */
    [[nodiscard]] std::int64_t first_turn(time_point now) const;

    pace_options options_;
    duration period_{};
    duration turn_lifetime_{};
    time_point first_begin_{};
    std::int64_t next_unused_ = 0;
};

} // namespace rosemarydeck
