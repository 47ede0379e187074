/** @file daemon_base.cpp One VM's daemon: the core and all its I/O. */
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

constexpr auto drain_check = milliseconds(20);

} // namespace

daemon::daemon(settings values)
    : values_(std::move(values)), wake_(context_), drain_limit_(context_),
      signals_(context_, SIGTERM, SIGINT),
      timeline_(static_cast<std::size_t>(values_.timeline_events))
{
    const auto started =
        static_cast<std::uint64_t>(to_microseconds(clock_.now()));
    self_.vm = vm_id(values_.vm_name);
    self_.data_centre = dc_id(values_.data_centre);
    self_.address = values_.address;
    self_.started = started;
    self_.instance = make_instance_id(self_.vm, started);
}

daemon::~daemon() = default;

daemon_exit daemon::run()
{
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(context_);
    if (values_.platform_kind == "embedded")
        platform_ = std::make_unique<embedded_platform>(values_.trial_file);
    else
        platform_ = std::make_unique<http_platform>(
            context_,
            http_peer{values_.platform_address,
                      static_cast<std::uint16_t>(values_.platform_port)},
            milliseconds(values_.platform_timeout_ms));
    const auto opened = open_ports();
    if (!opened) {
        log_warning("main", describe(opened.error()));
        return daemon_exit::failed;
    }
    make_core();
    signals_.async_wait([this](const auto& fault, int) {
        if (!fault)
            on_signal();
    });
    handle(clock_tick{});
    std::istringstream seeds(values_.seeds);
    for (std::string seed; std::getline(seeds, seed, ',');) {
        const auto colon = seed.rfind(':');
        if (colon == std::string::npos)
            log_warning("peer", "Seed " + seed + " has no port.");
        else
            link_->dial(seed.substr(0, colon),
                        static_cast<std::uint16_t>(std::strtoul(
                            seed.c_str() + colon + 1, nullptr, 10)));
    }
    return ended_.take();
}

expected<void> daemon::open_ports()
{
    self_.peer_port = static_cast<std::uint16_t>(values_.peer_port);
    callers_ = std::make_unique<caller_service>(values_, make_control_port());
    const auto caller_port = callers_->start();
    if (!caller_port)
        return tl::unexpected(caller_port.error());
    self_.caller_port = *caller_port;
    peer_link_options options;
    options.self = self_;
    options.cluster_key = values_.cluster_key;
    options.max_queue_bytes = static_cast<std::size_t>(values_.max_queue_bytes);
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
            log_warning("peer",
                        describe(message.error()) + " from " + from.value());
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
    options.heartbeat_interval = milliseconds(values_.heartbeat_ms);
    options.suspect_timeout = milliseconds(values_.suspect_ms);
    options.grant_coverage_period = milliseconds(values_.grant_cover_ms);
    options.min_grant_headroom = values_.grant_minimum;
    options.solo_percent = values_.solo_percent;
    options.grant_renewal_interval = milliseconds(values_.renew_ms);
    options.bill_flush_delay = milliseconds(values_.bill_flush_ms);
    options.key_ttl = milliseconds(values_.key_window_ms);
    options.max_unflushed_bills =
        static_cast<std::size_t>(values_.max_unflushed_bills);
    options.default_max_output_tokens = values_.default_output_tokens;
    options.max_open_requests =
        static_cast<std::size_t>(values_.max_open_requests);
    options.max_attempts = static_cast<std::uint32_t>(values_.max_attempts);
    core_ = std::make_unique<decision_core>(options);
}

void daemon::tell(core_event event)
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
    follow_config();
    arm_wake();
    if (core_drained_)
        watch_drain();
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
        const auto begun = clock_.now();
        const auto result = call_on(platform_, action.request);
        metrics_.observe("rosemarydeck_platform_seconds", clock_.now() - begun);
        handle(platform_answered{action.call, result});
    }).detach();
}

void daemon::record(const record_event& action)
{
    timeline_.push(action.event);
    const auto kind = nlohmann::json(action.event.kind).get<std::string>();
    metrics_.count("rosemarydeck_events{kind=\"" + kind + "\"}");
    switch (action.event.kind) {
    case timeline_kind::draining: // By signal, by an operator, or sealed.
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

void daemon::arm_wake()
{
    const auto next = core_->next_wake_time();
    if (next == time_point::max())
        return;
    wake_.expires_after(std::max(next - clock_.now(), duration{}));
    wake_.async_wait([this](const auto& fault) {
        if (!fault)
            handle(clock_tick{});
    });
}

void daemon::follow_config()
{
    const auto& config = core_->config();
    if (config.revision() == followed_revision_)
        return;
    followed_revision_ = config.revision();
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
        return cut_off("A second signal came.");
    signals_.async_wait([this](const auto& fault, int) {
        if (!fault)
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
    log_info("main", "Draining: no new connections, open requests finish.");
    ready_ = false;
    callers_->close_port();
    drain_limit_.expires_after(milliseconds(values_.drain_limit_ms));
    drain_limit_.async_wait([this](const auto& fault) {
        if (!fault)
            cut_off("The drain limit was reached.");
    });
}

void daemon::watch_drain()
{
    // The last bytes of finished answers may still be on their way out.
    if (callers_->busy() == 0)
        return end(daemon_exit::drained);
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        while (callers_->busy() > 0)
            fiber_sleep(context_, drain_check);
        end(daemon_exit::drained);
    }).detach();
    core_drained_ = false;
}

void daemon::cut_off(const std::string& why)
{
    const auto status = core_->status();
    log_warning("main",
                why + " Cut off: " + std::to_string(status.open_requests) +
                    " open requests, " +
                    std::to_string(status.unflushed_bills) +
                    " bills not stored.");
    end(daemon_exit::cut_off);
}

void daemon::end(daemon_exit how)
{
    log_info("main", "Ending.");
    ended_.put(how);
}

} // namespace rosemarydeck
