/** @file retry_budget_base.hpp Bound on the retries of requests. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <deque>

namespace rosemarydeck
{

/** Bound on the retries for one service, over all VMs of the fleet. */
struct retry_budget_options
{
    double ratio = 0.2; ///< Maximum retries per request.
    /** Retries beyond the ratio, for the whole fleet in one window. */
    std::uint32_t extra = 0;
    duration window = milliseconds(10'000); ///< Look-back window.
};

/**
 * This VM's share of the fleet's retry budget. The ratio applies to the VM's
 * own requests and the extra retries are divided by the number of VMs, so the
 * shares don't add up to more than the fleet's budget even when the VMs can't
 * communicate.
 */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /** Replaces the bounds. */
    void configure(const retry_budget_options& options) { options_ = options; }
    /** Records a client's request for a service. */
    void record_request(const service_id& service, time_point now);
    /** Takes one retry from the budget.
     *  @param live_vms VMs that share the budget, this one included; 0 if
     *  unknown, which leaves no extra retries.
     *  @return False if the budget is used up. */
    bool try_acquire_retry(const service_id& service, std::uint32_t live_vms,
                           time_point now);

private:
    /** Times of the requests and retries of a service in the window. */
    struct service_window
    {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    void drop_expired(std::deque<time_point>& times, time_point now) const;

    retry_budget_options options_;
    std::map<service_id, service_window> windows_;
};

} // namespace rosemarydeck
