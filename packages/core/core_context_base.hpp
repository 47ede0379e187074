/** @file core_context_base.hpp What the parts of a decision core share. */
#pragma once

#include "config/config_base.hpp"
#include "core/action_type.hpp"
#include "core/core_options_type.hpp"
#include "core/core_timer_type.hpp"
#include "core/event_type.hpp"
#include "core/platform_call_queue_base.hpp"
#include "member/membership_base.hpp"
#include "server_selection/server_directory_base.hpp"
#include "timeline/timeline_base.hpp"

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace rosemarydeck
{

/** A grant in an account whose holder is not live. */
struct stale_grant
{
    customer_id customer;
    instance_id holder;

    bool operator==(const stale_grant&) const = default;
};

/** Shared state, outgoing messages, timers and random choices of a core. */
class core_context
{
public:
    explicit core_context(core_options options);

    core_options options;
    time_point now;
    membership members;
    fleet_config config;
    server_directory servers;
    platform_call_queue platform;
    hybrid_clock clock;
    bool draining = false;
    bool sealed = false; ///< Other VMs took this one for gone.
    std::vector<stale_grant> stale_grants; ///< Seen since the last turn.

    /** @return This VM's instance. */
    [[nodiscard]] const instance_id& self() const;
    /** @return This VM's data centre. */
    [[nodiscard]] const dc_id& data_centre() const;
    /** @return The instance that owns a customer in this data centre. */
    [[nodiscard]] instance_id owner_of(const customer_id& customer) const;
    /** @return The instance next in order behind this one, or empty. */
    [[nodiscard]] instance_id witness_for(const customer_id& customer) const;

    /** Wants something done. */
    void act(core_action action);
    /** Sends a message; one to this VM itself is handled in this turn. */
    void send(const instance_id& to, peer_message message);
    /** Records an event on the time line. */
    void record(timeline_kind kind, const customer_id& customer = {},
                const idempotency_key& key = {}, std::string detail = {});
    /** Wakes the core. @param after How long from now. */
    void schedule(duration after, core_timer timer);
    /** @return A jittered delay that grows with the number of tries. */
    duration backoff(unsigned tries);

    /** @return The next message to this VM itself, if any. */
    std::optional<peer_message> take_local_message();
    /** @return The next timer that is due, if any. */
    std::optional<core_timer> take_due_timer();
    /** @return When the next timer is due; the far future if there is none. */
    [[nodiscard]] time_point next_wake_time() const;
    /** @return All actions wanted since the last call. */
    std::vector<core_action> take_actions();

private:
    std::vector<core_action> actions_;
    std::deque<peer_message> local_;
    std::multimap<time_point, core_timer> timers_;
    std::mt19937_64 random_;
};

} // namespace rosemarydeck
