/** @file daemon_base.hpp One VM's daemon: the core and all its I/O. */
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

/** How a daemon has ended; the value is the process's exit code. */
enum class daemon_exit
{
    drained = 0,
    cut_off = 3, ///< Forced, or the drain limit was reached.
    failed = 4,  ///< A port could not be opened.
};

/** Runs one VM of the fleet; its thread is the control thread. */
class daemon
{
public:
    explicit daemon(settings values);
    ~daemon();

    /** Runs until the VM is drained or cut off. @return How it ended. */
    daemon_exit run();

private:
    expected<void> open_ports();
    void make_core();
    control_port make_control_port();
    void tell(core_event event);
    void handle(const core_event& event);
    void act(const core_action& action);
    void send(const send_peer& action);
    void call(const call_platform& action);
    void record(const record_event& action);
    void arm_wake();
    void follow_config();
    void on_signal();
    void begin_drain();
    void on_draining();
    void watch_drain();
    void end(daemon_exit how);
    void cut_off(const std::string& why);
    std::string status_text();
    std::string timeline_text(const timeline_filter& filter);
    std::string metrics_text();
    platform_result operator_call(const platform_request& request);

    /** Runs a query on the control thread and waits in the caller's fiber. */
    template <class Value>
    Value ask(std::function<Value()> query);

    settings values_;
    runtime_clock clock_;
    boost::asio::io_context context_{1};
    boost::asio::steady_timer wake_;
    boost::asio::steady_timer drain_limit_;
    boost::asio::signal_set signals_;
    member_info self_;
    std::unique_ptr<decision_core> core_;
    std::unique_ptr<peer_link> link_;
    std::unique_ptr<caller_service> callers_;
    platform_client platform_;
    timeline_ring timeline_;
    metrics_registry metrics_;
    object_version followed_revision_ = 0;
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    bool core_drained_ = false;
    fiber_slot<daemon_exit> ended_;
};

/** Sets up logging. @param level error, warn, info or debug. */
void start_logging(const std::string& level);

/** Logs a short sentence. @param part The part that speaks. */
void log_info(const char* part, const std::string& text);
/** Logs what an operator should see to. */
void log_warning(const char* part, const std::string& text);

} // namespace rosemarydeck
