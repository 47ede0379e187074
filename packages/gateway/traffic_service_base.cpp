/** @file traffic_service_base.cpp The thread that carries clients' requests. */
#include "gateway/traffic_service_base.hpp"

#include "gateway/listener_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t fiber_stack_bytes = 65'536;
constexpr auto tidy_every = milliseconds(1'000);
constexpr auto accept_backoff = milliseconds(50);

} // namespace

traffic_service::traffic_service(const gateway_settings& settings,
                                 wallet& local_wallet, credit_pool& credit,
                                 event_log& log, gateway_metrics& metrics,
                                 control_callbacks calls)
    : shared_{.io = io_,
              .settings = settings,
              .local_wallet = local_wallet,
              .credit = credit,
              .log = log,
              .metrics = metrics,
              .control = std::move(calls)}
{
}

traffic_service::~traffic_service() = default;

expected<std::uint16_t> traffic_service::start()
{
    auto port = listen_on(acceptor_, shared_.settings.callers);
    if (!port)
        return port;
    thread_ = std::thread([this] { run(); });
    thread_.detach(); // Ends with the process.
    return port;
}

void traffic_service::run()
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io_);
    tidy();
    accept();
}

void traffic_service::accept()
{
    while (acceptor_.is_open()) {
        boost::asio::ip::tcp::socket socket(io_);
        const auto done = await_io([&](auto handler) {
            acceptor_.async_accept(socket, std::move(handler));
        });
        if (!done.fault) {
            serve(std::move(socket));
            continue;
        }
        if (acceptor_.is_open())
            shared_.log.write("accept_failed", {{"why", done.fault.message()}});
        fiber_sleep(io_, accept_backoff);
    }
    // Fibers go on serving the connections that are open.
    while (true)
        fiber_sleep(io_, std::chrono::hours(1));
}

void traffic_service::serve(boost::asio::ip::tcp::socket socket)
{
    auto work = [this, socket = std::move(socket)]() mutable {
        client_connection one(shared_, std::move(socket));
        connections_.insert(&one);
        one.run();
        connections_.erase(&one);
    };
    boost::fibers::fiber(
        boost::fibers::launch::post, std::allocator_arg,
        boost::fibers::protected_fixedsize_stack(fiber_stack_bytes),
        std::move(work))
        .detach();
}

void traffic_service::publish(std::shared_ptr<const fleet_view> view)
{
    boost::asio::post(io_, [this, view = std::move(view)] {
        shared_.view = view;
        shared_.selector.drop_unlisted(*view);
    });
}

void traffic_service::configure(const gateway_settings& settings)
{
    boost::asio::post(io_, [this, settings] {
        shared_.settings = settings;
        shared_.retries.configure(settings.retries);
    });
}

void traffic_service::begin_drain()
{
    boost::asio::post(io_, [this] { shared_.draining = true; });
}

void traffic_service::close_idle_connections()
{
    boost::asio::post(io_, [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto* one : connections_)
            one->close_if_idle();
    });
}

void traffic_service::tidy()
{
    busy_ = shared_.open_requests;
    if (shared_.view)
        shared_.pool.tidy(*shared_.view, shared_.clock.now());
    tidy_timer_.expires_after(shared_.draining ? milliseconds(50) : tidy_every);
    tidy_timer_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped)
            tidy();
    });
}

} // namespace rosemarydeck
