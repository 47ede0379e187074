/** @file decision_core_base.hpp All decisions of one VM, without I/O. */
#pragma once

#include "common/json_type.hpp"
#include "core/adoption_base.hpp"
#include "core/bill_writer_base.hpp"
#include "core/config_sync_base.hpp"
#include "core/core_context_base.hpp"
#include "core/dispatcher_base.hpp"
#include "core/owner_base.hpp"
#include "core/witness_base.hpp"

namespace rosemarydeck
{

/** One backend server's state, for operators. */
struct server_status
{
    server_id server;
    dc_id data_centre;
    std::int64_t outstanding = 0; ///< Requests of this VM.
    std::int64_t slots = 0;
    bool leaving = false;
};
ROSEMARYDECK_JSON_DECLARE(server_status);

/** A VM's own account of itself, for operators. */
struct core_status
{
    member_info self;
    object_version revision = 0;
    bool draining = false;
    bool watcher = false;
    std::size_t open_requests = 0;
    std::size_t unflushed_bills = 0;
    std::size_t customers = 0;
    std::size_t witness_records = 0;
    std::size_t unfinished_adoptions = 0;
    std::vector<member_info> live;
    std::vector<server_status> servers;
};
ROSEMARYDECK_JSON_DECLARE(core_status);

/**
 * Takes one event and the time, and returns what is to be done. The same
 * options, events and times give the same actions.
 */
class decision_core
{
public:
    explicit decision_core(core_options options);
    decision_core(const decision_core&) = delete;
    decision_core& operator=(const decision_core&) = delete;

    /**
     * Handles an event and every timer that is due.
     * @param event What has happened.
     * @param now The time; not earlier than that of the last call.
     * @return What is to be done, in this order.
     */
    std::vector<core_action> handle(const core_event& event, time_point now);

    /** @return When to call again with clock_tick if nothing happens. */
    [[nodiscard]] time_point next_wake_time() const
    {
        return context_.next_wake_time();
    }
    /** @return The VM's state, for operators. */
    [[nodiscard]] core_status status() const;
    /** @return Grants and keys of this VM, for tests and operators. */
    [[nodiscard]] const owner& owned() const { return owner_; }
    /** @return The configuration in force. */
    [[nodiscard]] const fleet_config& config() const { return context_.config; }
    /** @return Which VMs are live. */
    [[nodiscard]] const membership& members() const { return context_.members; }

private:
    void on_event(const caller_request& event);
    void on_event(const caller_disconnected& event);
    void on_event(const key_requested& event);
    void on_event(const answer_dropped& event);
    void on_event(const attempt_first_token& event);
    void on_event(const attempt_finished& event);
    void on_event(const attempt_failed& event);
    void on_event(const peer_received& event);
    void on_event(const peer_connected& event);
    void on_event(const peer_disconnected& event);
    void on_event(const platform_answered& event);
    void on_event(const server_reported& event);
    void on_event(const drain_server& event);
    void on_event(const drain_self& event);
    void on_event(const clock_tick& event);
    void on_message(const instance_id& from, const peer_message& message);
    void on_heartbeat(const instance_id& from, const heartbeat& message);
    void on_timer(const core_timer& timer);
    void on_purpose(const call_purpose& purpose, const platform_result& result);
    void on_member_changes(const std::vector<member_change>& changes);
    void beat();
    void retire_unlisted();
    void run_pending();
    void check_drained();

    core_context context_;
    bill_writer bills_;
    witness witness_;
    owner owner_;
    dispatcher dispatcher_;
    adoption_manager adoption_;
    config_sync config_sync_;
    bool said_goodbye_ = false;
};

} // namespace rosemarydeck
