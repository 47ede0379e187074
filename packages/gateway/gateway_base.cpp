/** @file gateway_base.cpp One VM's router process on the users' platform. */
#include "gateway/gateway_base.hpp"

#include "gateway/listener_func.hpp"
#include "platform/platform_header_func.hpp"
#include "platform/platform_settings_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/all.hpp>
#include <filesystem>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

constexpr int exit_drained = 0;
constexpr int exit_no_port = 4;
/** The balancer needs two missed checks, a second apart, to stop sending. */
constexpr auto leave_rotation = milliseconds(2'600);
/** Kept of the grace time for returning budgets and ending. */
constexpr auto end_margin = milliseconds(700);
constexpr auto drain_check = milliseconds(50);
constexpr auto settings_check = milliseconds(2'000);
constexpr auto check_idle_limit = std::chrono::seconds(10);

} // namespace

gateway::gateway(gateway_settings settings, std::string settings_path)
    : settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      log_(settings_.vm.value())
{
}

int gateway::run()
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io_);
    const auto started = to_microseconds(clock_.now());
    control_options options;
    options.settings = settings_;
    options.self =
        instance_id(settings_.vm.value() + "." + std::to_string(started));
    options.publish = [this](std::shared_ptr<const fleet_view> view) {
        traffic_->publish(std::move(view));
    };
    log_.write("start", {{"instance", options.self.value()},
                         {"data_centre", settings_.data_centre.value()},
                         {"callers", settings_.callers.text()}});
    control_ = std::make_unique<control_service>(
        io_, std::move(options), wallet_, credit_, log_, metrics_);
    traffic_ = std::make_unique<traffic_service>(settings_, wallet_, credit_,
                                                 log_, metrics_, make_calls());
    const auto opened = open_ports();
    if (!opened) {
        log_.write("stop", {{"why", describe(opened.error())}});
        log_.flush();
        return exit_no_port;
    }
    control_->start();
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        watch_settings();
    }).detach();
    await_signal();
    return ended_.take();
}

control_callbacks gateway::make_calls()
{
    control_callbacks calls;
    calls.request_budget = [this](const customer_id& customer,
                                  token_count tokens) {
        boost::asio::post(io_, [this, customer, tokens] {
            control_->request_budget(customer, tokens);
        });
    };
    calls.report_crash = [this](const request_fingerprint& request,
                                const server_id& engine) {
        boost::asio::post(io_, [this, request, engine] {
            control_->note_crash(request, engine);
        });
    };
    calls.report_suspect_served = [this](const request_fingerprint& request) {
        boost::asio::post(io_,
                          [this, request] { control_->clear_crash(request); });
    };
    return calls;
}

expected<void> gateway::open_ports()
{
    const auto callers = traffic_->start();
    if (!callers)
        return tl::unexpected(callers.error());
    const auto ready = open(ready_port_, settings_.ready);
    if (!ready)
        return tl::unexpected(ready.error());
    const auto metrics = open(
        metrics_port_, {settings_.callers.address, settings_.metrics_port});
    if (!metrics)
        log_.write("metrics_unavailable", {{"why", describe(metrics.error())}});
    log_.write("listening", {{"callers", *callers},
                             {"ready", *ready},
                             {"metrics", metrics.value_or(0)}});
    return {};
}

expected<std::uint16_t> gateway::open(boost::asio::ip::tcp::acceptor& acceptor,
                                      const endpoint& at)
{
    auto port = listen_on(acceptor, at);
    if (port)
        boost::fibers::fiber(boost::fibers::launch::post, [this, &acceptor] {
            answer_checks(acceptor);
        }).detach();
    return port;
}

void gateway::answer_checks(boost::asio::ip::tcp::acceptor& acceptor)
{
    while (acceptor.is_open()) {
        boost::asio::ip::tcp::socket socket(io_);
        const auto done = await_io([&](auto handler) {
            acceptor.async_accept(socket, std::move(handler));
        });
        if (done.fault) {
            fiber_sleep(io_, drain_check);
            continue;
        }
        boost::fibers::fiber(boost::fibers::launch::post,
                             [this, socket = std::move(socket)]() mutable {
                                 answer_check(std::move(socket));
                             })
            .detach();
    }
}

void gateway::answer_check(boost::asio::ip::tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    while (true) {
        stream.expires_after(check_idle_limit);
        http::request<http::empty_body> request;
        const auto read = await_io([&](auto handler) {
            http::async_read(stream, buffer, request, std::move(handler));
        });
        if (read.fault)
            return;
        const std::string reply = check_reply(std::string(request.target()));
        const auto written = await_io([&](auto handler) {
            boost::asio::async_write(stream, boost::asio::buffer(reply),
                                     std::move(handler));
        });
        if (written.fault || !request.keep_alive())
            return;
    }
}

std::string gateway::check_reply(const std::string& target) const
{
    std::string status = "404 Not Found";
    std::string body;
    if (target == platform::ready_path) {
        const bool ready = control_->ready() && !draining_;
        status = ready ? "200 OK" : "503 Service Unavailable";
    }
    else if (target == "/metrics") {
        status = "200 OK\r\nContent-Type: text/plain; version=0.0.4";
        body = metrics_.expose();
    }
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void gateway::await_signal()
{
    signals_.async_wait([this](const auto& fault, int signal) {
        if (fault)
            return;
        if (signal == SIGHUP)
            reload("signal");
        else if (!std::exchange(draining_, true))
            boost::fibers::fiber(boost::fibers::launch::post, [this] {
                drain();
            }).detach();
        await_signal();
    });
}

void gateway::reload(const char* cause)
{
    const auto read = platform::read_settings(settings_path_);
    if (!read) {
        for (const auto& fault : read.error())
            log_.write("settings_unreadable",
                       {{"line", fault.line}, {"why", fault.text}});
        return;
    }
    auto changed = *read;
    changed.metrics_port = settings_.metrics_port;
    log_.write("reload",
               {{"cause", cause}, {"changed", changed == settings_ ? 0 : 1}});
    // Addresses and names hold until the process starts again.
    settings_.retries = changed.retries;
    settings_.termination_grace_period = changed.termination_grace_period;
    traffic_->configure(settings_);
}

void gateway::watch_settings()
{
    namespace fs = std::filesystem;
    std::error_code fault;
    auto known = fs::last_write_time(settings_path_, fault);
    while (true) {
        fiber_sleep(io_, settings_check);
        const auto now = fs::last_write_time(settings_path_, fault);
        if (!fault && std::exchange(known, now) != now)
            reload("file");
    }
}

void gateway::drain()
{
    const auto begun = clock_.now();
    log_.write("drain_begin", {{"open_requests", traffic_->busy()}});
    traffic_->begin_drain();
    fiber_sleep(io_, leave_rotation);
    traffic_->close_idle_connections();
    fiber_sleep(io_, drain_check * 2);
    const auto limit = begun + settings_.termination_grace_period - end_margin;
    while (traffic_->busy() > 0 && clock_.now() < limit)
        fiber_sleep(io_, drain_check);
    control_->close_budgets();
    log_.write("stop", {{"open_requests", traffic_->busy()},
                        {"ms", clock_.now() - begun}});
    log_.flush();
    ended_.put(exit_drained);
}

} // namespace rosemarydeck
