/** @file traffic_service_base.hpp The thread that serves clients. */
#pragma once

#include "gateway/client_connection_base.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <set>
#include <thread>

namespace rosemarydeck
{

/** Accepts client connections and serves them on a thread of its own, with one
 *  fiber for each connection. */
class traffic_service
{
public:
    traffic_service(const gateway_settings& settings, wallet& local_wallet,
                    credit_pool& credit, stream_registry& streams,
                    const config_knowledge& knowledge, event_log& log,
                    gateway_metrics& metrics, memory_account& memory,
                    control_callbacks callbacks);
    ~traffic_service();

    /** Opens the port and starts the thread. @return The port, or an error. */
    expected<std::uint16_t> start();
    /** Replaces the view of the fleet; callable from any thread. */
    void publish(std::shared_ptr<const fleet_view> view);
    /** Applies changed settings; callable from any thread. */
    void configure(const gateway_settings& settings);
    /** Makes all further answers close their connections, and refuses requests
     *  that may last beyond the stop.
     *  @param balancer_left_at Until when the load balancer sends new clients.
     *  @param stop_at When the process stops. */
    void begin_drain(time_point balancer_left_at, time_point stop_at);
    /** Makes further answers close their connections, or keep them again. */
    void set_out_of_rotation(bool outside);
    /** @return True while clients send more than this VM's link carries. */
    [[nodiscard]] bool link_overloaded() const
    {
        return link_overloaded_.load();
    }
    /** @return Part of the link's capacity that is used. */
    [[nodiscard]] double link_utilization() const
    {
        return link_utilization_.load();
    }
    /** Closes the port and all connections that have no request. */
    void close_idle_connections();
    /** @return Number of client requests in progress, as of the last
     *  housekeeping run. */
    [[nodiscard]] std::size_t open_requests() const
    {
        return open_requests_.load();
    }

private:
    void run();
    /** @param from_vms Serves requests that other VMs pass on. */
    void accept_clients(boost::asio::ip::tcp::acceptor& acceptor,
                        bool from_vms);
    /** Starts a fiber that serves one connection. */
    void start_connection(boost::asio::ip::tcp::socket socket, bool from_vm);
    /** Updates open_requests() and closes stale engine connections. Runs
     *  periodically, and more often during a drain. */
    void run_housekeeping();
    /** Updates the metrics of the account, and logs once how many connections
     *  had to yield since the last call. */
    void report_memory();
    /** Updates the load of the link; runs several times a second. */
    void watch_link();

    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_{io_};
    boost::asio::ip::tcp::acceptor relay_acceptor_{io_};
    boost::asio::steady_timer housekeeping_timer_{io_};
    boost::asio::steady_timer link_timer_{io_};
    traffic_context context_;
    std::set<client_connection*> connections_;
    std::uint64_t reported_yields_ = 0;
    std::atomic<std::size_t> open_requests_{0};
    std::atomic<bool> link_overloaded_{false};
    std::atomic<double> link_utilization_{0};
    std::thread thread_;
};

} // namespace rosemarydeck
