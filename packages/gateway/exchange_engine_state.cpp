/** @file exchange_engine_state.cpp What requests and answers tell of engines.
 */
#include "gateway/exchange_base.hpp"

#include "common/hash_func.hpp"
#include "platform/platform_config_func.hpp"
#include "router/request_trait_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Time in which an engine reports its start, and the most that it may send. */
constexpr auto report_timeout = milliseconds(300);
constexpr std::uint64_t max_report_bytes = 65'536;
/** Connect time-out of the probe that tells a crashed engine from a lost
 *  connection. Covers a few round trips. */
constexpr auto crash_probe_timeout = milliseconds(100);
/** Other engines of the data centre that are probed, one after the other, to
 *  tell a crash from a cut of this VM's links. */
constexpr std::size_t max_cut_probes = 3;
/** A request that crashes engines does so when its answer begins. A stream that
 *  lasted longer is not the cause. */
constexpr auto max_time_to_crash = milliseconds(1'000);

} // namespace

const std::vector<request_trait>& exchange::traits()
{
    if (traits_.empty())
        traits_ = traits_of(request_head_, request_.body());
    return traits_;
}

bool exchange::is_blocked()
{
    return !view_->blocked.empty() &&
           find_combination(traits(), view_->blocked) != nullptr;
}

bool exchange::start_trial()
{
    const auto* combination = find_combination(traits(), view_->trials);
    if (combination == nullptr ||
        !context_.used_trials.insert(*combination).second)
        return false;
    is_trial_ = true;
    context_.control.report_trial(*combination);
    return true;
}

bool exchange::is_suspected()
{
    return !view_->suspected.empty() &&
           std::any_of(traits().begin(), traits().end(),
                       [this](const auto& trait) {
                           return view_->suspected.count(trait) > 0;
                       });
}

void exchange::log_failed_send(const placement& chosen,
                               const send_result& result) const
{
    context_.log.write("send_failed",
                       {{"req", request_head_.id},
                        {"engine", chosen.engine.id.value()},
                        {"software", chosen.engine.software.value()},
                        {"address", chosen.engine.endpoint()},
                        {"outcome", name_of(result.outcome)},
                        {"engine_status", result.failure_status},
                        {"why", send_fault_},
                        {"client_gone", client_.closed() ? 1 : 0},
                        {"timed_out", timed_out_ ? 1 : 0},
                        {"events", last_event_id_ - initial_event_id_},
                        {"ms", elapsed()}});
}

void exchange::report_if_crashed(const placement& chosen)
{
    const auto broken_at = context_.clock.now();
    // An engine that still accepts connections has not crashed.
    auto probe = context_.connection_pool.make();
    const auto opened = context_.connection_pool.connect(chosen.engine, probe,
                                                         crash_probe_timeout);
    if (opened) {
        context_.connection_pool.keep(std::move(probe), context_.clock.now());
        return;
    }
    const bool cut_off = is_cut_off_from(chosen.engine);
    log_engine_down(chosen, opened.error(), broken_at, cut_off);
    if (!cut_off && !outlasted_start(broken_at))
        context_.control.report_crash(
            {traits(), chosen.engine.incarnation(), sent_at_});
}

bool exchange::is_listed_incarnation(const engine_info& engine)
{
    auto& pool = context_.connection_pool;
    const bool needs_software =
        origin_ || (route_->resumable_stream() && pool.is_doubtful(engine));
    const auto connection = engine_connection_;
    if (!needs_software || engine.started_at_ms == 0 ||
        connection->confirmed_start_ms == engine.started_at_ms)
        return true;
    const auto start = read_engine_start();
    context_.metrics.add(counter::engine_start_checks);
    if (start == engine.started_at_ms) {
        connection->confirmed_start_ms = engine.started_at_ms;
        pool.clear_doubt(engine.id);
        return true;
    }
    if (start == 0) // It doesn't tell.
        return true;
    pool.record_doubt(engine);
    context_.log.write("engine_not_as_listed",
                       {{"req", request_head_.id},
                        {"engine", engine.id.value()},
                        {"listed", engine.started_at_ms},
                        {"started", start.value_or(-1)}});
    connection->reset();
    return false;
}

std::optional<std::int64_t> exchange::read_engine_start()
{
    const auto connection = engine_connection_;
    boost::asio::steady_timer timer(context_.io, report_timeout);
    timer.async_wait([connection](const boost::system::error_code& stopped) {
        if (!stopped)
            connection->reset();
    });
    const auto text = platform::engine_report_request();
    const auto sent = await_io([&](auto handler) {
        boost::asio::async_write(connection->socket, boost::asio::buffer(text),
                                 std::move(handler));
    });
    answer_parser parser;
    parser.body_limit(max_report_bytes);
    const auto read = await_io([&](auto handler) {
        http::async_read(connection->socket, connection->buffer, parser,
                         std::move(handler));
    });
    timer.cancel();
    context_.link_bytes.sent += sent.bytes;
    context_.link_bytes.received += read.bytes;
    if (sent.fault || read.fault || !parser.get().keep_alive())
        return std::nullopt;
    return platform::decode_engine_start(parser.get().body()).value_or(0);
}

bool exchange::is_cut_off_from(const engine_info& engine)
{
    std::vector<engine_info> others;
    for (const auto& [service, engines] : view_->engines)
        for (const auto& one : engines)
            if (one.data_centre == engine.data_centre && one.id != engine.id)
                others.push_back(one);
    if (others.empty())
        return false;
    const auto first = stable_hash(request_head_.id) % others.size();
    for (std::size_t at = 0; at < std::min(others.size(), max_cut_probes);
         ++at) {
        const auto& other = others[(first + at) % others.size()];
        auto probe = context_.connection_pool.make();
        if (!context_.connection_pool.connect(other, probe,
                                              crash_probe_timeout))
            continue;
        context_.connection_pool.keep(std::move(probe), context_.clock.now());
        return false;
    }
    return true;
}

bool exchange::outlasted_start(time_point now) const
{
    return answer_began_at_ && route_->repeat == repeat_rule::stream &&
           now - *answer_began_at_ > max_time_to_crash;
}

void exchange::log_engine_down(const placement& chosen, const error& probe,
                               time_point broken_at, bool cut_off)
{
    std::string parts;
    for (const auto& part : request_head_.prompt)
        parts += (parts.empty() ? "" : ",") + part.id;
    context_.log.write(
        "engine_down",
        {{"req", request_head_.id},
         {"request", traits().front().value()},
         {"parts", parts},
         {"engine", chosen.engine.id.value()},
         {"probe", probe.text},
         {"cut_off", cut_off ? 1 : 0},
         {"sent_before_ms", broken_at - sent_at_},
         {"answered_before_ms",
          answer_began_at_ ? broken_at - *answer_began_at_ : duration(-1)}});
}

void exchange::record_engine_state(const placement& chosen,
                                   const answer_head& head)
{
    const auto now = context_.clock.now();
    if (head.leaving) {
        const auto notice =
            context_.selector.record_leaving(chosen.engine, now);
        if (notice)
            context_.control.report_notice(chosen.engine.incarnation(),
                                           *notice);
        context_.connection_pool.close_idle(chosen.engine.id);
        context_.log.write("engine_leaving",
                           {{"req", request_head_.id},
                            {"engine", chosen.engine.id.value()},
                            {"born", chosen.engine.started_at_ms}});
    }
    record_engine_limit(chosen, head);
    if (head.bearable_rejections || (head.sealed && head.status < 300))
        context_.selector.record_brittle(
            chosen.engine, head.bearable_rejections, head.not_executed, now);
    if (head.rest_time) {
        context_.selector.record_rest(chosen.engine.id, now + *head.rest_time);
        context_.log.write("engine_rests",
                           {{"req", request_head_.id},
                            {"engine", chosen.engine.id.value()},
                            {"for_ms", duration(*head.rest_time)}});
    }
}

void exchange::record_engine_limit(const placement& chosen,
                                   const answer_head& head)
{
    // An answer that the engine did not make itself says nothing of a limit.
    if (!head.request_limit && !(head.sealed && head.status < 300))
        return;
    const auto notice = context_.selector.record_limit(
        chosen.engine, head.request_limit, sent_at_, context_.clock.now());
    if (!notice)
        return;
    context_.log.write("engine_limit",
                       {{"req", request_head_.id},
                        {"engine", chosen.engine.incarnation().value()},
                        {"per_s", notice->limit_per_s.value_or(-1)},
                        {"vms", view_->live_vms}});
    context_.control.report_notice(chosen.engine.incarnation(), *notice);
}

} // namespace rosemarydeck
