/** @file caller_service_base.hpp Caller connections and their threads. */
#pragma once

#include "web/attempt_base.hpp"
#include "web/caller_session_base.hpp"
#include "web/fiber_slot_base.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace rosemarydeck
{

/** A backend server whose load is polled. */
struct polled_server
{
    server_id server;
    http_peer peer;

    auto operator<=>(const polled_server&) const = default;
};

/**
 * Accepts callers' connections and serves each in a fiber. Attempts run in
 * fibers of their own. These fibers run in the traffic threads; the decision
 * core runs in the control thread.
 */
class caller_service
{
public:
    caller_service(const settings& values, control_interface control);
    ~caller_service();
    caller_service(const caller_service&) = delete;
    caller_service& operator=(const caller_service&) = delete;

    /**
     * Opens the callers' port and starts the threads.
     * @return The port, or error_code::unavailable if listening fails.
     */
    expected<std::uint16_t> start();
    /** Executes an action of the core that concerns callers; ignores others. */
    void act(const core_action& action);
    /** Replaces the list of servers whose load is polled. */
    void poll(std::vector<polled_server> servers);
    /** Stops accepting connections; open requests continue. */
    void stop_accepting();
    /** @return Number of connections that are serving a request. */
    [[nodiscard]] std::size_t busy() const { return busy_sessions_; }
    /** Stops all threads; waits until their connections are closed. */
    void stop();

private:
    struct traffic_thread
    {
        boost::asio::io_context context{1};
        std::thread thread;
        std::unique_ptr<attempt_runner> attempts;
        fiber_slot<bool> stopped;
    };

    void run_thread(traffic_thread& traffic);
    void accept_next();
    void on_accepted(traffic_thread& target,
                     boost::asio::ip::tcp::socket socket);
    void start_attempt(const dispatch_attempt& dispatch);
    void finish(const finish_request& finished);
    void end_without_answer(request_id id, log_read_result result);
    void poll_loads(traffic_thread& traffic);

    const settings& values_;
    control_interface control_;
    answer_store answers_;
    memory_account memory_;
    runtime_clock clock_;
    std::atomic<std::size_t> busy_sessions_{0};
    shared_session_state shared_;
    std::vector<std::unique_ptr<traffic_thread>> threads_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> next_thread_{0};
    std::mutex polled_mutex_;
    std::vector<polled_server> polled_servers_;
};

} // namespace rosemarydeck
