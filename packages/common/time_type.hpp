/** @file time_type.hpp Clock and time units shared by all packages. */
#pragma once

#include <chrono>
#include <ctime>
#include <optional>

namespace rosemarydeck
{

/** Length of time in microseconds. */
using duration = std::chrono::microseconds;

/** Time in microseconds since the Unix epoch; see runtime_clock. */
using time_point = std::chrono::sys_time<duration>;

/**
 * Clock that never runs backwards: the wall-clock time at construction plus the
 * time elapsed on the steady clock. Tests pause and advance it.
 */
class runtime_clock
{
public:
    /** @return The current time. */
    [[nodiscard]] time_point now() const
    {
        if (paused_)
            return *paused_;
        const auto elapsed = std::chrono::steady_clock::now() - steady_start_;
        return wall_start_ + std::chrono::duration_cast<duration>(elapsed);
    }

    /** Stops the clock. @param at Time that now() then returns. */
    void pause(time_point at) { paused_ = at; }

    /** Moves a paused clock forward; no effect on a running one. */
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

/**
 * Clock that counts the time for which the VM was suspended as well, which
 * runtime_clock doesn't. For ages on which others rely; its times can't be
 * compared with those of another clock.
 */
class boot_clock
{
public:
    /** @return The time since the VM has booted. */
    [[nodiscard]] time_point now() const
    {
        timespec since_boot{};
        ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(since_boot.tv_sec) +
            std::chrono::nanoseconds(since_boot.tv_nsec)));
    }
};

/** @return Microseconds since the Unix epoch. */
inline std::int64_t to_microseconds(time_point when)
{
    return when.time_since_epoch().count();
}

/** @param count Microseconds since the Unix epoch. */
inline time_point from_microseconds(std::int64_t count)
{
    return time_point(duration(count));
}

} // namespace rosemarydeck
