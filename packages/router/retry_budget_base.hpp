/** @file retry_budget_base.hpp Bounds the sends beyond each request's first. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <deque>

namespace rosemarydeck
{

/** The fleet's bound on repeated sends to one service. */
struct retry_budget_options
{
    double ratio = 0.2;      ///< Repeats for each request in the window.
    std::uint32_t extra = 0; ///< Repeats beyond that, of the whole fleet.
    duration window = milliseconds(10'000);
};

/**
 * This VM's part of the fleet's retry budget: the ratio applies to its own
 * requests and the extra is divided by the number of VMs, so the parts of VMs
 * that can't talk to each other never exceed the whole.
 */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /** Takes over changed bounds. */
    void configure(const retry_budget_options& options) { options_ = options; }
    /** Notes a client's request for a service. */
    void record_request(const service_id& service, time_point now);
    /** Takes one repeat from the budget.
     *  @param live_vms VMs that may be drawing on it, this one included.
     *  @return False if the budget is used up. */
    bool try_acquire_retry(const service_id& service, std::uint32_t live_vms,
                           time_point now);

private:
    struct window
    {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };

    void forget(std::deque<time_point>& times, time_point now) const;

    retry_budget_options options_;
    std::map<service_id, window> windows_;
};

} // namespace rosemarydeck
