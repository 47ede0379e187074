/** @file decision_core_base.hpp Decisions of one VM, without I/O. */
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

/** State of one backend server, as shown to operators. */
struct server_status
{
    server_id server;
    dc_id data_centre;
    std::int64_t outstanding = 0; ///< Requests of this VM that it runs.
    std::int64_t slots = 0;       ///< Requests that it can run at a time.
    bool leaving = false;         ///< Gets no new requests.
};
ROSEMARYDECK_JSON_DECLARE(server_status);

/** State of one VM, as shown to operators. */
struct core_status
{
    member_info self;
    object_version revision = 0;          ///< Revision of the configuration.
    bool draining = false;                ///< The VM is shutting down.
    bool watcher = false;                 ///< It watches the configuration.
    std::size_t open_requests = 0;        ///< Requests that have not ended.
    std::size_t unflushed_bills = 0;      ///< Bills that are not stored yet.
    std::size_t customers = 0;            ///< Customers with state at this VM.
    std::size_t witness_records = 0;      ///< Records of other holders.
    std::size_t unfinished_adoptions = 0; ///< Adoptions to be written.
    std::vector<member_info> live;        ///< Other VMs that are live.
    std::vector<server_status> servers;
};
ROSEMARYDECK_JSON_DECLARE(core_status);

/**
 * Decides what a VM does: takes an event with its time and returns the actions
 * to be taken. It is deterministic: the same options, events and times give
 * the same actions.
 */
class decision_core
{
public:
    explicit decision_core(core_options options);
    decision_core(const decision_core&) = delete;
    decision_core& operator=(const decision_core&) = delete;

    /**
     * Handles an event and every timer that is due.
     * @param event The event.
     * @param now The time; an earlier one than in the last call is ignored.
     * @return The actions, in the order in which they are to be taken.
     */
    std::vector<core_action> handle(const core_event& event, time_point now);

    /** @return Time of the next clock_tick, if there is no earlier event. */
    [[nodiscard]] time_point next_wake_time() const
    {
        return context_.next_wake_time();
    }
    /** @return State of the VM for operators. */
    [[nodiscard]] core_status status() const;
    /** @return The owner part, with grants and keys, for tests. */
    [[nodiscard]] const owner& local_owner() const { return owner_; }
    /** @return The configuration in force. */
    [[nodiscard]] const fleet_config& config() const { return context_.config; }
    /** @return The known VMs and their states. */
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
    void on_platform_answer(const call_purpose& purpose,
                            const platform_result& result);
    void on_member_changes(const std::vector<member_change>& changes);
    void send_heartbeats();
    void mark_unlisted_gone();
    void handle_pending();
    void finish_drain();

    core_context context_;
    bill_writer bill_writer_;
    witness witness_;
    owner owner_;
    dispatcher dispatcher_;
    adoption_manager adoption_manager_;
    config_sync config_sync_;
    bool shutdown_notice_sent_ = false;
};

} // namespace rosemarydeck
