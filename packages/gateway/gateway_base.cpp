/** @file gateway_base.cpp Router process of one VM of the fleet. */
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
constexpr int exit_port_unavailable = 4;
/** Time until the load balancer stops sending clients: it needs two failed
 *  checks, a second apart. */
constexpr auto balancer_removal_delay = milliseconds(2'600);
/** Part of the grace period that is reserved for returning budgets and for the
 *  exit. */
constexpr auto shutdown_reserve = milliseconds(700);
/** Interval of checks while draining, and pause after a failed accept. */
constexpr auto poll_interval = milliseconds(50);
/** Interval at which an overload is looked for; several for each of the load
 *  balancer's checks. */
constexpr auto load_poll_interval = milliseconds(125);
constexpr auto settings_poll_interval = milliseconds(2'000);
constexpr auto connection_idle_timeout = std::chrono::seconds(10);
constexpr std::uint64_t bytes_per_mb = 1'048'576;
/** Largest readiness check or request for the metrics, and what the kernel
 *  buffers for one. */
constexpr std::size_t max_check_bytes = 16'384;
constexpr int check_buffer_bytes = 32'768;

} // namespace

struct gateway::check_connection
    : std::enable_shared_from_this<check_connection>
{
    check_connection(boost::asio::ip::tcp::socket socket,
                     memory_account& account)
        : stream(std::move(socket)), memory(account)
    {
    }
    ~check_connection() { memory.close(holder); }
    check_connection(const check_connection&) = delete;
    check_connection& operator=(const check_connection&) = delete;

    /** @return False if there is no room in the account. */
    bool enter(time_point now)
    {
        holder = memory.open(
            peer_kind::check,
            [weak = weak_from_this()](bool) {
                if (const auto self = weak.lock())
                    self->stream.close();
            },
            now);
        return holder != 0;
    }

    boost::beast::tcp_stream stream;
    memory_account& memory;
    holder_id holder = 0;
};

gateway::gateway(gateway_settings settings, std::string settings_path)
    : settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      log_(settings_.vm.value()),
      memory_(memory_limits_for(settings_.memory_mb * bytes_per_mb,
                                settings_.max_descriptors))
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
        io_, std::move(options), wallet_, credit_pool_, streams_,
        config_knowledge_, memory_, log_, metrics_);
    traffic_ = std::make_unique<traffic_service>(
        settings_, wallet_, credit_pool_, streams_, config_knowledge_, log_,
        metrics_, memory_, make_callbacks());
    const auto opened = open_ports();
    if (!opened) {
        log_.write("stop", {{"why", describe(opened.error())}});
        log_.flush();
        return exit_port_unavailable;
    }
    control_->start();
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        watch_settings();
    }).detach();
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        watch_load();
    }).detach();
    await_signals();
    return exit_code_.take();
}

control_callbacks gateway::make_callbacks()
{
    control_callbacks callbacks;
    callbacks.request_budget = [this](const customer_id& customer,
                                      token_count tokens) {
        boost::asio::post(io_, [this, customer, tokens] {
            control_->request_budget(customer, tokens);
        });
    };
    callbacks.report_crash = [this](const crash_sighting& sighting) {
        boost::asio::post(
            io_, [this, sighting] { control_->report_crash(sighting); });
    };
    callbacks.report_suspect_served =
        [this](const std::vector<request_trait>& traits,
               time_point answer_began) {
            boost::asio::post(io_, [this, traits, answer_began] {
                control_->report_suspect_served(traits, answer_began);
            });
        };
    callbacks.report_crashing_refused =
        [this](const std::vector<request_trait>& traits) {
            boost::asio::post(io_, [this, traits] {
                control_->report_crashing_refused(traits);
            });
        };
    callbacks.report_trial = [this](const trait_combination& combination) {
        boost::asio::post(
            io_, [this, combination] { control_->report_trial(combination); });
    };
    callbacks.report_notice = [this](const server_id& engine,
                                     const engine_notice& notice) {
        boost::asio::post(io_, [this, engine, notice] {
            control_->report_notice(engine, notice);
        });
    };
    callbacks.report_config_version = [this](std::uint64_t version,
                                             const vm_id& vm) {
        boost::asio::post(io_, [this, version, vm] {
            control_->report_config_version(version, vm);
        });
    };
    callbacks.check_config = [this](std::shared_ptr<config_check> check) {
        boost::asio::post(io_, [this, check = std::move(check)] {
            control_->check_config(check);
        });
    };
    callbacks.find_origin = [this](std::shared_ptr<origin_lookup> lookup) {
        boost::asio::post(io_, [this, lookup = std::move(lookup)] {
            control_->find_origin(lookup);
        });
    };
    return callbacks;
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
    auto port = listen_on(acceptor, at, check_buffer_bytes);
    if (port)
        boost::fibers::fiber(boost::fibers::launch::post, [this, &acceptor] {
            serve_checks(acceptor);
        }).detach();
    return port;
}

void gateway::serve_checks(boost::asio::ip::tcp::acceptor& acceptor)
{
    while (acceptor.is_open()) {
        boost::asio::ip::tcp::socket socket(io_);
        const auto done = await_io([&](auto handler) {
            acceptor.async_accept(socket, std::move(handler));
        });
        if (done.fault) {
            fiber_sleep(io_, poll_interval);
            continue;
        }
        auto connection =
            std::make_shared<check_connection>(std::move(socket), memory_);
        if (connection->enter(clock_.now()))
            boost::fibers::fiber(boost::fibers::launch::post, [this,
                                                               connection]() {
                serve_connection(connection);
            }).detach();
    }
}

void gateway::serve_connection(std::shared_ptr<check_connection> connection)
{
    auto& stream = connection->stream;
    // A request that fills the buffer without an end is an error.
    boost::beast::flat_buffer buffer(max_check_bytes);
    while (true) {
        stream.expires_after(connection_idle_timeout);
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

void gateway::await_signals()
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
        await_signals();
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
    // Addresses and names stay in force until the process restarts.
    settings_.retries = changed.retries;
    settings_.termination_grace_period = changed.termination_grace_period;
    traffic_->configure(settings_);
}

void gateway::watch_settings()
{
    namespace fs = std::filesystem;
    std::error_code fault;
    auto last_change = fs::last_write_time(settings_path_, fault);
    while (true) {
        fiber_sleep(io_, settings_poll_interval);
        const auto now = fs::last_write_time(settings_path_, fault);
        if (!fault && std::exchange(last_change, now) != now)
            reload("file");
    }
}

void gateway::watch_load()
{
    bool outside = false;
    while (true) {
        fiber_sleep(io_, load_poll_interval);
        const bool before = std::exchange(
            outside, control_->update_rotation(traffic_->link_overloaded(),
                                               traffic_->link_utilization()));
        if (outside != before)
            traffic_->set_out_of_rotation(outside);
    }
}

void gateway::drain()
{
    const auto drain_start = clock_.now();
    log_.write("drain_begin", {{"open_requests", traffic_->open_requests()}});
    const auto deadline =
        drain_start + settings_.termination_grace_period - shutdown_reserve;
    traffic_->begin_drain(drain_start + balancer_removal_delay, deadline);
    fiber_sleep(io_, balancer_removal_delay);
    traffic_->close_idle_connections();
    fiber_sleep(io_, poll_interval * 2);
    while (traffic_->open_requests() > 0 && clock_.now() < deadline)
        fiber_sleep(io_, poll_interval);
    control_->close_budgets();
    log_.write("stop", {{"open_requests", traffic_->open_requests()},
                        {"ms", clock_.now() - drain_start}});
    log_.flush();
    exit_code_.put(exit_drained);
}

} // namespace rosemarydeck
