/** @file timeline_base.hpp Hybrid clock and event buffer of a VM. */
#pragma once

#include "common/time_type.hpp"
#include "timeline/timeline_type.hpp"

#include <boost/circular_buffer.hpp>
#include <vector>

namespace rosemarydeck
{

/** Hybrid logical clock: each time from next() is later than all times that it
 *  returned or observed before. */
class hybrid_clock
{
public:
    /** @param now Current time of the VM's own clock.
     *  @return The time of the next event. */
    hybrid_time next(time_point now);
    /** Merges the time of a received message. */
    void observe(hybrid_time received);

private:
    hybrid_time last_;
};

/** Selects events; an empty member matches all. */
struct timeline_filter
{
    customer_id customer;
    idempotency_key key;
    std::string kind; ///< JSON name of a timeline_kind.
};

/** Ring buffer of the newest events of one VM. */
class timeline_buffer
{
public:
    /** @param capacity Maximum number of events kept. */
    explicit timeline_buffer(std::size_t capacity);
    /** Adds an event; drops the oldest if the buffer is full. */
    void push(timeline_event event);
    /** @return The matching events in the order in which they were added. */
    [[nodiscard]] std::vector<timeline_event>
    select(const timeline_filter& filter) const;

private:
    boost::circular_buffer<timeline_event> events_;
};

/** @param events Events of several VMs.
 *  @return The events by hybrid time, then VM name; oldest first. */
std::vector<timeline_event> merge_events(std::vector<timeline_event> events);

} // namespace rosemarydeck
