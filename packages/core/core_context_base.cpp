/** @file core_context_base.cpp State shared by the parts of a decision core. */
#include "core/core_context_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Time for which a server's load report is used. */
constexpr duration load_report_ttl = std::chrono::seconds(3);
/** Time for which a server is not used after its first failure. */
constexpr duration initial_failure_backoff = std::chrono::milliseconds(500);
/** Maximum of that time, which doubles with each failure. */
constexpr duration max_failure_backoff = std::chrono::seconds(10);

} // namespace

core_context::core_context(core_options given)
    : options(std::move(given)),
      members({.self = options.self,
               .suspect_timeout = options.suspect_timeout,
               .probation = options.initial_probation_period,
               .max_probation = options.max_probation_period}),
      servers({.load_report_ttl = load_report_ttl,
               .initial_failure_backoff = initial_failure_backoff,
               .max_failure_backoff = max_failure_backoff}),
      random_(options.seed)
{
}

const instance_id& core_context::self() const
{
    return options.self.instance;
}

const dc_id& core_context::data_centre() const
{
    return options.self.data_centre;
}

instance_id core_context::owner_of(const customer_id& customer) const
{
    const auto ranked = members.ranking(customer.value(), data_centre());
    // A sealed VM owns no customers, although it ranks itself as live.
    if (sealed && ranked.size() > 1 && ranked.front() == self())
        return ranked[1];
    return ranked.front();
}

instance_id core_context::witness_for(const customer_id& customer) const
{
    const auto& live = members.live_in(data_centre());
    if (live.size() < 2)
        return {};
    const auto ranked = members.ranking(customer.value(), data_centre());
    return ranked[0] == self() ? ranked[1] : ranked[0];
}

void core_context::emit_action(core_action action)
{
    actions_.push_back(std::move(action));
}

void core_context::send(const instance_id& to, peer_message message)
{
    if (to == self())
        local_messages_.push_back(std::move(message));
    else
        emit_action(send_peer{to, std::move(message)});
}

void core_context::record(timeline_kind kind, const customer_id& customer,
                          const idempotency_key& key, std::string detail)
{
    emit_action(record_event{{clock.next(now), options.self.vm, data_centre(),
                              kind, customer, key, std::move(detail)}});
}

void core_context::schedule(duration after, core_timer timer)
{
    timers_.emplace(now + after, std::move(timer));
}

duration core_context::backoff(unsigned failures)
{
    constexpr unsigned max_doublings = 10;
    const auto full = std::min(options.initial_platform_backoff *
                                   (1U << std::min(failures, max_doublings)),
                               options.max_platform_backoff);
    std::uniform_int_distribution<duration::rep> jitter(full.count() / 2,
                                                        full.count());
    return duration(jitter(random_));
}

std::optional<peer_message> core_context::take_local_message()
{
    if (local_messages_.empty())
        return std::nullopt;
    auto message = std::move(local_messages_.front());
    local_messages_.pop_front();
    return message;
}

std::optional<core_timer> core_context::take_due_timer()
{
    if (timers_.empty() || timers_.begin()->first > now)
        return std::nullopt;
    auto timer = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    return timer;
}

time_point core_context::next_wake_time() const
{
    return timers_.empty() ? time_point::max() : timers_.begin()->first;
}

std::vector<core_action> core_context::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace rosemarydeck
