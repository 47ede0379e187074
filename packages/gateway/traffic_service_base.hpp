/** @file traffic_service_base.hpp The thread that carries clients' requests. */
#pragma once

#include "gateway/client_connection_base.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <set>
#include <thread>

namespace rosemarydeck
{

/** Accepts clients and serves them on a thread of its own. */
class traffic_service
{
public:
    traffic_service(const gateway_settings& settings, wallet& local_wallet,
                    credit_pool& credit, event_log& log,
                    gateway_metrics& metrics, control_callbacks calls);
    ~traffic_service();

    /** Opens the port and starts the thread. @return The port, or an error. */
    expected<std::uint16_t> start();
    /** Takes over what control knows; callable from any thread. */
    void publish(std::shared_ptr<const fleet_view> view);
    /** Takes over changed settings; callable from any thread. */
    void configure(const gateway_settings& settings);
    /** Answers from now on close their connections. */
    void begin_drain();
    /** Closes the port and connections without a request. */
    void close_idle_connections();
    /** @return Requests in flight. */
    [[nodiscard]] std::size_t busy() const { return busy_.load(); }

private:
    void run();
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void tidy();

    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_{io_};
    boost::asio::steady_timer tidy_timer_{io_};
    traffic_context shared_;
    std::set<client_connection*> connections_;
    std::atomic<std::size_t> busy_{0};
    std::thread thread_;
};

} // namespace rosemarydeck
