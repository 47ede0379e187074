/** @file daemon_base.hpp Daemon of one VM: the decision core with its I/O. */
#pragma once

#include "core/decision_core_base.hpp"
#include "daemon/platform_client_base.hpp"
#include "peer/peer_link_base.hpp"
#include "settings/settings_type.hpp"
#include "timeline/metrics_base.hpp"
#include "web/caller_service_base.hpp"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace rosemarydeck
{

/** Result of a daemon's run; the value is the exit code of the process. */
enum class daemon_exit
{
    drained = 0,
    /** Stopped before the drain ended: by a second signal or because the drain
     *  took longer than drain_limit_ms. */
    forced = 3,
    failed = 4, ///< A port could not be opened.
};

/**
 * Runs one VM of the fleet. The thread that calls run() is the control thread:
 * it alone runs the decision core, the peer link and the platform calls.
 */
class daemon
{
public:
    explicit daemon(settings values);
    ~daemon();

    /** Serves until the VM has drained or is stopped by force. */
    daemon_exit run();

private:
    expected<void> open_ports();
    void make_core();
    control_interface make_control_interface();
    void post_event(core_event event);
    void handle(const core_event& event);
    void act(const core_action& action);
    void send(const send_peer& action);
    void call(const call_platform& action);
    void record(const record_event& action);
    void schedule_wake();
    void apply_config();
    void on_signal();
    /** Tells the core to drain, which answers with the event `draining`. */
    void begin_drain();
    /** Closes the callers' port and starts the timeout drain_limit_ms. */
    void on_draining();
    /** Ends the run once all answers have been sent. */
    void finish_drain();
    void finish(daemon_exit result);
    void force_stop(const std::string& reason);
    std::string status_text();
    std::string timeline_text(const timeline_filter& filter);
    std::string metrics_text();
    platform_result operator_call(const platform_request& request);

    /** Runs a query on the control thread; the calling fiber waits for its
     *  result. */
    template <class Value>
    Value run_on_control_thread(std::function<Value()> query);

    settings settings_;
    runtime_clock clock_;
    boost::asio::io_context context_{1};
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer drain_timer_;
    boost::asio::signal_set signals_;
    member_info self_;
    std::unique_ptr<decision_core> core_;
    std::unique_ptr<peer_link> link_;
    std::unique_ptr<caller_service> callers_;
    platform_client platform_;
    timeline_buffer timeline_;
    metrics_registry metrics_;
    object_version applied_revision_ = 0;
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    bool core_drained_ = false;
    fiber_slot<daemon_exit> exit_result_;
};

/**
 * Sets up logging to standard error.
 * @param level error, warn, info or debug; any other value means info.
 */
void start_logging(const std::string& level);

/** Logs normal operation. @param component Logger: main, peer or core. */
void log_info(const char* component, const std::string& text);
/** Logs a condition that needs an operator's attention.
 *  @param component Logger: main, peer or core. */
void log_warning(const char* component, const std::string& text);

} // namespace rosemarydeck
