/** @file platform_call_queue_base.cpp Queue of calls to the platform. */
#include "core/platform_call_queue_base.hpp"

#include "common/overload_func.hpp"

namespace rosemarydeck
{

namespace
{

/** Maximum of calls in flight, not counting the watch. */
constexpr std::size_t max_calls_in_flight = 16;

/** @return The index of a purpose's queue; 0 has the highest priority. */
std::size_t queue_index_of(const call_purpose& purpose)
{
    return std::visit(
        overload{[](const claim_purpose&) { return std::size_t{0}; },
                 [](const bills_purpose&) { return std::size_t{1}; },
                 [](const config_purpose&) { return std::size_t{0}; },
                 [](const auto&) { return std::size_t{2}; }},
        purpose);
}

bool is_watch(const call_purpose& purpose)
{
    return std::holds_alternative<config_purpose>(purpose);
}

} // namespace

void platform_call_queue::call(call_purpose purpose, platform_request request)
{
    queues_[queue_index_of(purpose)].push_back(
        {std::move(purpose), std::move(request)});
}

std::optional<call_purpose> platform_call_queue::end_call(call_id call)
{
    const auto found = in_flight_.find(call);
    if (found == in_flight_.end())
        return std::nullopt;
    auto purpose = std::move(found->second);
    in_flight_.erase(found);
    if (!is_watch(purpose))
        --counted_in_flight_;
    return purpose;
}

std::vector<call_platform> platform_call_queue::take_ready()
{
    std::vector<call_platform> ready;
    for (auto& queue : queues_)
        while (!queue.empty()) {
            auto& next = queue.front();
            const bool counted = !is_watch(next.purpose);
            if (counted && counted_in_flight_ >= max_calls_in_flight)
                break;
            counted_in_flight_ += counted ? 1 : 0;
            const call_id call(next_call_++);
            ready.push_back({call, std::move(next.request)});
            in_flight_[call] = std::move(next.purpose);
            queue.pop_front();
        }
    return ready;
}

} // namespace rosemarydeck
