/** @file traffic_service_base.cpp The thread that serves clients. */
#include "gateway/traffic_service_base.hpp"

#include "gateway/listener_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t fiber_stack_bytes = 65'536;
constexpr auto housekeeping_interval = milliseconds(1'000);
/** Interval at which the link's load is measured. */
constexpr auto link_sample_interval = milliseconds(125);
/** Pause after a failed accept. */
constexpr auto accept_backoff = milliseconds(50);

} // namespace

traffic_service::traffic_service(const gateway_settings& settings,
                                 wallet& local_wallet, credit_pool& credit,
                                 stream_registry& streams,
                                 const config_knowledge& knowledge,
                                 event_log& log, gateway_metrics& metrics,
                                 memory_account& memory,
                                 control_callbacks callbacks)
    : context_{.io = io_,
               .settings = settings,
               .local_wallet = local_wallet,
               .credit = credit,
               .streams = streams,
               .knowledge = knowledge,
               .log = log,
               .metrics = metrics,
               .memory = memory,
               .control = std::move(callbacks)}
{
}

traffic_service::~traffic_service() = default;

expected<std::uint16_t> traffic_service::start()
{
    auto port =
        listen_on(acceptor_, context_.settings.callers, client_buffer_bytes);
    if (!port)
        return port;
    const auto& relay = context_.settings.relay;
    if (relay.port != 0) {
        const auto opened =
            listen_on(relay_acceptor_, relay, client_buffer_bytes);
        if (!opened)
            context_.log.write("relay_port_unavailable",
                               {{"why", describe(opened.error())}});
    }
    thread_ = std::thread([this] { run(); });
    thread_.detach(); // Ends with the process.
    return port;
}

void traffic_service::run()
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io_);
    run_housekeeping();
    watch_link();
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        accept_clients(relay_acceptor_, true);
    }).detach();
    accept_clients(acceptor_, false);
    // Keeps the thread alive: its fibers still serve the open connections.
    while (true)
        fiber_sleep(io_, std::chrono::hours(1));
}

void traffic_service::accept_clients(boost::asio::ip::tcp::acceptor& acceptor,
                                     bool from_vms)
{
    while (acceptor.is_open()) {
        boost::asio::ip::tcp::socket socket(io_);
        const auto done = await_io([&](auto handler) {
            acceptor.async_accept(socket, std::move(handler));
        });
        if (!done.fault) {
            start_connection(std::move(socket), from_vms);
            continue;
        }
        if (acceptor.is_open())
            context_.log.write("accept_failed",
                               {{"why", done.fault.message()}});
        fiber_sleep(io_, accept_backoff);
    }
}

void traffic_service::start_connection(boost::asio::ip::tcp::socket socket,
                                       bool from_vm)
{
    auto stream = std::make_shared<client_stream>(
        io_, std::move(socket), context_.link_bytes, context_.memory);
    if (!stream->enter()) {
        context_.metrics.add(counter::connections_refused);
        return stream->abort();
    }
    auto serve_client = [this, from_vm, stream = std::move(stream)]() mutable {
        client_connection connection(context_, std::move(stream), from_vm);
        connections_.insert(&connection);
        connection.run();
        connections_.erase(&connection);
    };
    boost::fibers::fiber(
        boost::fibers::launch::post, std::allocator_arg,
        boost::fibers::protected_fixedsize_stack(fiber_stack_bytes),
        std::move(serve_client))
        .detach();
}

void traffic_service::publish(std::shared_ptr<const fleet_view> view)
{
    boost::asio::post(io_, [this, view = std::move(view)] {
        context_.view = view;
        std::erase_if(context_.used_trials, [&](const auto& used) {
            return std::find(view->trials.begin(), view->trials.end(), used) ==
                   view->trials.end();
        });
        context_.selector.apply_view(*view, context_.clock.now());
    });
}

void traffic_service::configure(const gateway_settings& settings)
{
    boost::asio::post(io_, [this, settings] {
        context_.settings = settings;
        context_.retries.configure(settings.retries);
    });
}

void traffic_service::begin_drain(time_point balancer_left_at,
                                  time_point stop_at)
{
    boost::asio::post(io_, [=, this] {
        context_.draining = true;
        context_.balancer_left_at = balancer_left_at;
        context_.stop_at = stop_at;
    });
}

void traffic_service::set_out_of_rotation(bool outside)
{
    boost::asio::post(io_,
                      [this, outside] { context_.out_of_rotation = outside; });
}

void traffic_service::watch_link()
{
    auto& link = context_.link;
    link.record(context_.link_bytes, context_.clock.now());
    link_overloaded_ = link.overloaded();
    link_utilization_ = link.utilization();
    link_timer_.expires_after(link_sample_interval);
    link_timer_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped)
            watch_link();
    });
}

void traffic_service::close_idle_connections()
{
    boost::asio::post(io_, [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        relay_acceptor_.close(ignored);
        for (auto* connection : connections_)
            connection->close_if_idle();
    });
}

void traffic_service::report_memory()
{
    const auto& memory = context_.memory;
    const auto yields = memory.yields();
    context_.metrics.set(gauge::held_bytes, memory.used_bytes());
    context_.metrics.set(gauge::connections, memory.connections());
    context_.metrics.set(gauge::connections_yielded, yields);
    const auto since_last = yields - std::exchange(reported_yields_, yields);
    if (since_last > 0)
        context_.log.write("memory_short",
                           {{"yielded", since_last},
                            {"held", memory.used_bytes()},
                            {"capacity", memory.limits().capacity_bytes},
                            {"connections", memory.connections()}});
}

void traffic_service::run_housekeeping()
{
    open_requests_ = context_.open_requests;
    report_memory();
    if (context_.view)
        context_.connection_pool.close_stale(*context_.view,
                                             context_.clock.now());
    housekeeping_timer_.expires_after(
        context_.draining ? milliseconds(50) : housekeeping_interval);
    housekeeping_timer_.async_wait(
        [this](const boost::system::error_code& stopped) {
            if (!stopped)
                run_housekeeping();
        });
}

} // namespace rosemarydeck
