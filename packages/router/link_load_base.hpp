/** @file link_load_base.hpp Detection of a saturated network link. */
#pragma once

#include "common/time_type.hpp"

#include <cstdint>
#include <deque>

namespace rosemarydeck
{

/** When a link counts as overloaded. */
struct link_load_options
{
    /** Capacity in each direction; 0 if unknown: then never overloaded. */
    double bytes_per_s = 0;
    /** Utilization from which the link is overloaded. Bytes are counted where
     *  they are read and written, without packet headers and repeated packets,
     *  and a burst of clients grows within the load balancer's check interval.
     */
    double overload_utilization = 0.5;
    /** Utilization below which an overload may end. */
    double recovery_utilization = 0.25;
    duration window = std::chrono::milliseconds(500); ///< Averaging time.
    /** Minimum duration of an overload. It doubles each time the link is
     *  overloaded again within the relapse time: the clients that caused the
     *  overload come back with the VM. */
    duration min_overload_time = std::chrono::milliseconds(60'000);
    duration max_overload_time = std::chrono::milliseconds(240'000);
    duration relapse_time = std::chrono::milliseconds(60'000);
};

/** Bytes that passed the link since the process started. */
struct link_traffic
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;

    bool operator==(const link_traffic&) const = default;
};

/**
 * Detects that this VM's clients send more than its link carries. Answers the
 * load of a few clients that account for much of a fleet's traffic and are all
 * sent to one VM with a slow link. Once the link is full, clients give up
 * before their requests are read and retry, while engines, other VMs and the
 * store seem unreachable; none of that ends by itself.
 */
class link_load
{
public:
    explicit link_load(link_load_options options);

    /** Updates the state. Called several times in each window. */
    void record(const link_traffic& total, time_point now);
    [[nodiscard]] bool overloaded() const { return overloaded_; }
    /** @return Part of the capacity used in the last window, in the direction
     *  that uses more; 0 if the capacity is unknown. */
    [[nodiscard]] double utilization() const { return utilization_; }

private:
    struct sample
    {
        time_point at;
        link_traffic total;
    };

    void update_utilization();

    link_load_options options_;
    std::deque<sample> samples_; ///< Of one window, oldest first.
    double utilization_ = 0;
    bool overloaded_ = false;
    duration overload_time_{}; ///< Minimum duration of the present overload.
    time_point overload_start_{};
    time_point overload_end_{};
};

} // namespace rosemarydeck
