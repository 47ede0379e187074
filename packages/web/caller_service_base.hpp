/** @file caller_service_base.hpp The threads that carry traffic. */
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

/** A backend server whose load is asked for. */
struct polled_server
{
    server_id server;
    http_peer peer;

    auto operator<=>(const polled_server&) const = default;
};

/**
 * Accepts callers, serves each connection in a fiber, and runs attempts in
 * fibers of their own, on threads that have nothing to do with control.
 */
class caller_service
{
public:
    caller_service(const settings& values, control_port control);
    ~caller_service();
    caller_service(const caller_service&) = delete;
    caller_service& operator=(const caller_service&) = delete;

    /**
     * Opens the callers' port and starts the threads.
     * @return The port, or unavailable if the address can't be used.
     */
    expected<std::uint16_t> start();
    /** Carries out a core's action that concerns callers; else nothing. */
    void act(const core_action& action);
    /** Replaces the servers whose load is asked for. */
    void poll(std::vector<polled_server> servers);
    /** Takes no new connections; open requests go on. */
    void close_port();
    /** @return Connections on which a request is being served. */
    [[nodiscard]] std::size_t busy() const { return busy_; }
    /** Ends the threads once their connections are closed. */
    void stop();

private:
    struct traffic_thread
    {
        boost::asio::io_context context{1};
        std::thread thread;
        std::unique_ptr<attempt_runner> attempts;
        fiber_slot<bool> stopped;
    };

    void run_thread(traffic_thread& mine);
    void accept_next();
    void on_accepted(traffic_thread& target,
                     boost::asio::ip::tcp::socket socket);
    void start_attempt(const dispatch_attempt& order);
    void finish(const finish_request& done);
    void divert(request_id id, log_step step);
    void poll_loads(traffic_thread& mine);

    const settings& values_;
    control_port control_;
    answer_store answers_;
    std::atomic<std::size_t> busy_{0};
    session_shared shared_;
    std::vector<std::unique_ptr<traffic_thread>> threads_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> next_thread_{0};
    std::mutex polled_mutex_;
    std::vector<polled_server> polled_;
};

} // namespace rosemarydeck
