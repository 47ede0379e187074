/** @file core_context_base.hpp State shared by the parts of a decision core. */
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

/** A grant whose holder is not live, as found in a customer's account. */
struct stale_grant
{
    customer_id customer;
    instance_id holder;

    bool operator==(const stale_grant&) const = default;
};

/**
 * State that the parts of a decision core share: the time, the known members,
 * configuration and servers, and the core's actions, timers and random
 * choices.
 */
class core_context
{
public:
    explicit core_context(core_options options);

    core_options options;
    time_point now; ///< Time of the event that is handled.
    membership members;
    fleet_config config;
    server_directory servers;
    platform_call_queue platform;
    hybrid_clock clock;
    bool draining = false; ///< This VM is shutting down.
    /** Other VMs have sealed this one as lost, so it must spend nothing. */
    bool sealed = false;
    /** Grants that the adoption manager has still to look at. */
    std::vector<stale_grant> stale_grants;

    /** @return This VM's instance. */
    [[nodiscard]] const instance_id& self() const;
    /** @return This VM's data centre. */
    [[nodiscard]] const dc_id& data_centre() const;
    /** @return The instance that owns a customer in this data centre. */
    [[nodiscard]] instance_id owner_of(const customer_id& customer) const;
    /** @return Witness of this VM's records of a customer; empty if none. */
    [[nodiscard]] instance_id witness_for(const customer_id& customer) const;

    /** Adds an action to those that handle() returns. */
    void emit_action(core_action action);
    /** Sends a message; one to this VM is handled before handle() returns. */
    void send(const instance_id& to, peer_message message);
    /** Records an event on the time line. */
    void record(timeline_kind kind, const customer_id& customer = {},
                const idempotency_key& key = {}, std::string detail = {});
    /** Starts a timer. @param after Time from now until it is due. */
    void schedule(duration after, core_timer timer);
    /** @return A back-off with jitter that doubles with each failure. */
    duration backoff(unsigned failures);

    /** Takes the next message to this VM itself. @return None if empty. */
    std::optional<peer_message> take_local_message();
    /** Takes the next timer that is due. @return None if none is due. */
    std::optional<core_timer> take_due_timer();
    /** @return When the next timer is due; time_point::max() without any. */
    [[nodiscard]] time_point next_wake_time() const;
    /** Takes the actions emitted since the last call. */
    std::vector<core_action> take_actions();

private:
    std::vector<core_action> actions_;
    std::deque<peer_message> local_messages_;
    std::multimap<time_point, core_timer> timers_;
    std::mt19937_64 random_;
};

} // namespace rosemarydeck
