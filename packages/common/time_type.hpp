/** @file time_type.hpp The runtime's clock and its units. */
#pragma once

#include <chrono>
#include <optional>

namespace rosemarydeck
{

/** Length of time as the decision core counts it, in microseconds. */
using duration = std::chrono::microseconds;

/** Microseconds since the Unix epoch; never runs backwards on one VM. */
using time_point = std::chrono::sys_time<duration>;

/**
 * The clock of the runtime: the wall clock's reading at the start, carried on
 * by the steady clock. Tests pause it and move it by hand.
 */
class runtime_clock
{
public:
    /** @return The present time. */
    [[nodiscard]] time_point now() const
    {
        if (paused_)
            return *paused_;
        const auto elapsed = std::chrono::steady_clock::now() - steady_start_;
        return wall_start_ + std::chrono::duration_cast<duration>(elapsed);
    }

    /** Stops the clock at a given time. @param at The time that now() gives. */
    void pause(time_point at) { paused_ = at; }

    /** Moves a paused clock. @param by How far it moves forward. */
    void advance(duration by)
    {
        if (paused_)
            paused_ = *paused_ + by;
    }

private:
    std::chrono::steady_clock::time_point steady_start_ =
        std::chrono::steady_clock::now();
    time_point wall_start_ = std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
    std::optional<time_point> paused_;
};

/** @param when A time. @return Microseconds since the Unix epoch. */
inline std::int64_t to_microseconds(time_point when)
{
    return when.time_since_epoch().count();
}

/** @param count Microseconds since the Unix epoch. @return The time. */
inline time_point from_microseconds(std::int64_t count)
{
    return time_point(duration(count));
}

} // namespace rosemarydeck
