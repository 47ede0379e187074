/** @file daemon_base.cpp Daemon of one VM: the decision core with its I/O. */
#include "daemon/daemon_base.hpp"

#include "common/overload_func.hpp"
#include "core/peer_message_func.hpp"
#include "member/instance_id_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rosemarydeck
{

namespace
{

using milliseconds = std::chrono::milliseconds;

constexpr auto drain_check_interval = milliseconds(20);

} // namespace

daemon::daemon(settings values)
    : settings_(std::move(values)), wake_timer_(context_),
      drain_timer_(context_), signals_(context_, SIGTERM, SIGINT),
      timeline_(static_cast<std::size_t>(settings_.timeline_events))
{
    const auto started =
        static_cast<std::uint64_t>(to_microseconds(clock_.now()));
    self_.vm = vm_id(settings_.vm_name);
    self_.data_centre = dc_id(settings_.data_centre);
    self_.address = settings_.address;
    self_.started = started;
    self_.instance = make_instance_id(self_.vm, started);
}

daemon::~daemon() = default;

daemon_exit daemon::run()
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(context_);
    if (settings_.platform_kind == "embedded")
        platform_ = std::make_unique<embedded_platform>(settings_.trial_file);
    else
        platform_ = std::make_unique<http_platform>(
            context_,
            http_peer{settings_.platform_address,
                      static_cast<std::uint16_t>(settings_.platform_port)},
            milliseconds(settings_.platform_timeout_ms));
    const auto opened = open_ports();
    if (!opened) {
        log_warning("main", describe(opened.error()));
        return daemon_exit::failed;
    }
    make_core();
    signals_.async_wait([this](const auto& asio_error, int) {
        if (!asio_error)
            on_signal();
    });
    handle(clock_tick{});
    std::istringstream seed_list(settings_.seeds);
    for (std::string seed; std::getline(seed_list, seed, ',');) {
        const auto colon = seed.rfind(':');
        if (colon == std::string::npos)
            log_warning("peer", "Ignoring seed " + seed +
                                    ": it has no port, expected ADDRESS:PORT.");
        else
            link_->dial(seed.substr(0, colon),
                        static_cast<std::uint16_t>(std::strtoul(
                            seed.c_str() + colon + 1, nullptr, 10)));
    }
    return exit_result_.take();
}

expected<void> daemon::open_ports()
{
    self_.peer_port = static_cast<std::uint16_t>(settings_.peer_port);
    callers_ =
        std::make_unique<caller_service>(settings_, make_control_interface());
    const auto caller_port = callers_->start();
    if (!caller_port)
        return tl::unexpected(caller_port.error());
    self_.caller_port = *caller_port;
    peer_link_options options;
    options.self = self_;
    options.cluster_key = settings_.cluster_key;
    options.max_queue_bytes =
        static_cast<std::size_t>(settings_.max_queue_bytes);
    peer_link_handlers handlers;
    handlers.connected = [this](const member_info& who) {
        handle(peer_connected{who});
    };
    handlers.disconnected = [this](const instance_id& who) {
        handle(peer_disconnected{who});
    };
    handlers.received = [this](const instance_id& from,
                               const std::string& bytes) {
        const auto message = decode_message(bytes);
        if (message)
            handle(peer_received{from, *message});
        else
            log_warning("peer", describe(message.error()) +
                                    "; the message came from " + from.value());
    };
    handlers.failed = [](const error& fault) {
        log_warning("peer", describe(fault));
    };
    link_ = std::make_unique<peer_link>(context_, options, handlers);
    const auto peer_port = link_->listen();
    if (!peer_port)
        return tl::unexpected(peer_port.error());
    self_.peer_port = *peer_port;
    log_info("main",
             "Serving callers on port " + std::to_string(self_.caller_port) +
                 " and peers on port " + std::to_string(self_.peer_port) + ".");
    return {};
}

void daemon::make_core()
{
    core_options options;
    options.self = self_;
    options.seed = self_.started;
    options.heartbeat_interval = milliseconds(settings_.heartbeat_ms);
    options.suspect_timeout = milliseconds(settings_.suspect_ms);
    options.grant_coverage_period = milliseconds(settings_.grant_cover_ms);
    options.min_grant_headroom = settings_.grant_minimum;
    options.solo_percent = settings_.solo_percent;
    options.grant_renewal_interval = milliseconds(settings_.renew_ms);
    options.bill_flush_delay = milliseconds(settings_.bill_flush_ms);
    options.key_ttl = milliseconds(settings_.key_window_ms);
    options.max_unflushed_bills =
        static_cast<std::size_t>(settings_.max_unflushed_bills);
    options.default_max_output_tokens = settings_.default_output_tokens;
    options.max_open_requests =
        static_cast<std::size_t>(settings_.max_open_requests);
    options.max_attempts = static_cast<std::uint32_t>(settings_.max_attempts);
    core_ = std::make_unique<decision_core>(options);
}

void daemon::post_event(core_event event)
{
    boost::asio::post(context_,
                      [this, event = std::move(event)] { handle(event); });
}

void daemon::handle(const core_event& event)
{
    if (!core_)
        return;
    for (const auto& action : core_->handle(event, clock_.now()))
        act(action);
    apply_config();
    schedule_wake();
    if (core_drained_)
        finish_drain();
}

void daemon::act(const core_action& action)
{
    std::visit(overload{[&](const send_peer& one) { send(one); },
                        [&](const call_platform& one) { call(one); },
                        [&](const record_event& one) { record(one); },
                        [&](const drained&) { core_drained_ = true; },
                        [&](const auto&) { callers_->act(action); }},
               action);
}

void daemon::send(const send_peer& action)
{
    const auto sent = link_->send(action.to, encode_message(action.message));
    metrics_.count(sent ? "rosemarydeck_peer_messages_sent"
                        : "rosemarydeck_peer_messages_unsent");
}

void daemon::call(const call_platform& action)
{
    metrics_.count("rosemarydeck_platform_calls{kind=\"" +
                   kind_of(action.request) + "\"}");
    boost::fibers::fiber(boost::fibers::launch::post, [this, action] {
        const auto started = clock_.now();
        const auto result = call_through(platform_, action.request);
        metrics_.observe("rosemarydeck_platform_seconds",
                         clock_.now() - started);
        handle(platform_answered{action.call, result});
    }).detach();
}

void daemon::record(const record_event& action)
{
    timeline_.push(action.event);
    const auto kind = nlohmann::json(action.event.kind).get<std::string>();
    metrics_.count("rosemarydeck_events{kind=\"" + kind + "\"}");
    switch (action.event.kind) {
    case timeline_kind::draining:
        // Caused by a signal, by an operator, or because this VM was sealed.
        on_draining();
        break;
    case timeline_kind::peer_up:
    case timeline_kind::peer_down:
    case timeline_kind::peer_gone:
    case timeline_kind::config_rejected:
    case timeline_kind::platform_lost:
    case timeline_kind::platform_back:
    case timeline_kind::grant_sealed:
    case timeline_kind::grant_adopted:
    case timeline_kind::server_leaving:
        log_info("core", kind + " " + action.event.detail);
        break;
    default:
        break;
    }
}

void daemon::schedule_wake()
{
    const auto next = core_->next_wake_time();
    if (next == time_point::max())
        return;
    wake_timer_.expires_after(std::max(next - clock_.now(), duration{}));
    wake_timer_.async_wait([this](const auto& asio_error) {
        if (!asio_error)
            handle(clock_tick{});
    });
}

void daemon::apply_config()
{
    const auto& config = core_->config();
    if (config.revision() == applied_revision_)
        return;
    applied_revision_ = config.revision();
    ready_ = !draining_;
    for (const auto& [vm, entry] : config.vms())
        if (vm != self_.vm && entry.peer_port != 0)
            link_->dial(entry.address, entry.peer_port);
    std::vector<polled_server> polled;
    for (const auto& [id, entry] : config.servers())
        if (entry.data_centre == self_.data_centre)
            polled.push_back({id, {entry.address, entry.port}});
    callers_->poll(std::move(polled));
}

void daemon::on_signal()
{
    if (draining_)
        return force_stop("Received a signal while draining.");
    signals_.async_wait([this](const auto& asio_error, int) {
        if (!asio_error)
            on_signal();
    });
    begin_drain();
}

void daemon::begin_drain()
{
    handle(drain_self{});
}

void daemon::on_draining()
{
    if (draining_.exchange(true))
        return;
    log_info("main", "Draining: accepting no new connections, waiting for open "
                     "requests to finish.");
    ready_ = false;
    callers_->stop_accepting();
    drain_timer_.expires_after(milliseconds(settings_.drain_limit_ms));
    drain_timer_.async_wait([this](const auto& asio_error) {
        if (!asio_error)
            force_stop("Draining took longer than drain_limit_ms.");
    });
}

void daemon::finish_drain()
{
    // The last bytes of finished answers may not be sent yet.
    if (callers_->busy() == 0)
        return finish(daemon_exit::drained);
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        while (callers_->busy() > 0)
            fiber_sleep(context_, drain_check_interval);
        finish(daemon_exit::drained);
    }).detach();
    // Later events must not start a second wait.
    core_drained_ = false;
}

void daemon::force_stop(const std::string& reason)
{
    const auto status = core_->status();
    log_warning("main", reason + " Stopped before the drain ended: " +
                            std::to_string(status.open_requests) +
                            " open requests, " +
                            std::to_string(status.unflushed_bills) +
                            " bills not stored.");
    finish(daemon_exit::forced);
}

void daemon::finish(daemon_exit result)
{
    log_info("main", "Ending.");
    exit_result_.put(result);
}

} // namespace rosemarydeck
