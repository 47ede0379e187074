/** @file gateway_base.hpp Router process of one VM of the fleet. */
#pragma once

#include "gateway/control_service_base.hpp"
#include "gateway/traffic_service_base.hpp"
#include "web/fiber_slot_base.hpp"

#include <boost/asio/signal_set.hpp>

namespace rosemarydeck
{

/** Runs the control service on the calling thread and the traffic service on
 *  another. */
class gateway
{
public:
    /** @param settings_path Settings file, reloaded when it changes. */
    gateway(gateway_settings settings, std::string settings_path);

    /** Runs until SIGTERM or SIGINT has been handled. @return The exit code.
     */
    int run();

private:
    /** A connection of the load balancer or of a reader of the metrics. */
    struct check_connection;

    control_callbacks make_callbacks();
    /** Listens on a port and starts to serve readiness checks and metrics
     *  there. */
    expected<std::uint16_t> open(boost::asio::ip::tcp::acceptor& acceptor,
                                 const endpoint& at);
    expected<void> open_ports();
    void serve_checks(boost::asio::ip::tcp::acceptor& acceptor);
    void serve_connection(std::shared_ptr<check_connection> connection);
    std::string check_reply(const std::string& target) const;
    void await_signals();
    void reload(const char* cause);
    void watch_settings();
    void watch_load();
    void drain();

    gateway_settings settings_;
    std::string settings_path_;
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_{io_, SIGTERM, SIGINT, SIGHUP};
    boost::asio::ip::tcp::acceptor ready_port_{io_};
    boost::asio::ip::tcp::acceptor metrics_port_{io_};
    event_log log_;
    gateway_metrics metrics_;
    memory_account memory_;
    wallet wallet_;
    credit_pool credit_pool_;
    stream_registry streams_;
    config_knowledge config_knowledge_;
    runtime_clock clock_;
    std::unique_ptr<control_service> control_;
    std::unique_ptr<traffic_service> traffic_;
    bool draining_ = false;
    fiber_slot<int> exit_code_;
};

} // namespace rosemarydeck
