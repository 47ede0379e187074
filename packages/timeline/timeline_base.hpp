/** @file timeline_base.hpp The bounded ring of a VM's events. */
#pragma once

#include "common/time_type.hpp"
#include "timeline/timeline_type.hpp"

#include <boost/circular_buffer.hpp>
#include <vector>

namespace rosemarydeck
{

/** Gives out hybrid times, each later than any given or seen before. */
class hybrid_clock
{
public:
    /** @param now The VM's time. @return The time of the next event. */
    hybrid_time next(time_point now);
    /** Takes in a peer's time. @param seen The time that a message bore. */
    void observe(hybrid_time seen);

private:
    hybrid_time last_;
};

/** Which events are wanted; an empty member matches all. */
struct timeline_filter
{
    customer_id customer;
    idempotency_key key;
    std::string kind;
};

/** Keeps the newest events of one VM. */
class timeline_ring
{
public:
    /** @param capacity How many events are kept. */
    explicit timeline_ring(std::size_t capacity);
    /** Adds an event and drops the oldest if the ring is full. */
    void push(timeline_event event);
    /** @return The kept events that match, oldest first. */
    [[nodiscard]] std::vector<timeline_event>
    select(const timeline_filter& filter) const;

private:
    boost::circular_buffer<timeline_event> events_;
};

/** @param events Events of many VMs. @return One line, oldest first. */
std::vector<timeline_event> merge_events(std::vector<timeline_event> events);

} // namespace rosemarydeck
