/** @file exchange_base.cpp Admission and settlement of requests. */
#include "gateway/exchange_base.hpp"

#include "common/hash_func.hpp"
#include "ledger/ledger_layout_func.hpp"
#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** How long a request waits for headroom that was requested on its behalf.
 *  The ledger write behind it takes a few store calls. */
constexpr auto headroom_wait_timeout = milliseconds(160);
/** The same for a stream that the client takes up: after a restart many come
 *  back before the first grants do, and there is no other place to begin. */
constexpr auto taken_up_wait_timeout = milliseconds(1'200);
/** Interval at which such a stream requests headroom again. */
constexpr auto taken_up_request_interval = milliseconds(200);
constexpr auto headroom_poll_interval = milliseconds(20);
/** Retry-After for no_headroom when little of the budget is left. The other
 *  VMs return unused headroom when they next renew their grants. */
constexpr auto retry_after_scarce_budget = milliseconds(1'000);
/** Retry-After for no_headroom when much of the budget is left. Another VM
 *  probably has headroom and may get the retry. */
constexpr auto retry_after_ample_budget = milliseconds(100);
/** Lateness of a renewal from which the store seems out of reach. All VMs lose
 *  it at the same time, most often, and their headroom then grows with time
 *  only. */
constexpr auto max_renewal_delay = milliseconds(1'500);
/** Longest Retry-After for no_headroom: the store may be back by then. */
constexpr auto max_retry_after_headroom = milliseconds(3'000);
/** Retry-After for budget_kept. Only a top-up changes the answer. */
constexpr auto retry_after_kept_budget = milliseconds(60'000);
/** Much of a budget is left if it covers more than this many requests of the
 *  same maximum charge. */
constexpr token_count ample_budget_requests = 20;
/** Retry-After for crashes_engines. A block that is wrong ends within seconds
 *  where other requests clear it, or after minutes by a trial. */
constexpr auto retry_after_blocked = milliseconds(60'000);
/** Retry-After for memory_short: other requests end within seconds. */
constexpr auto retry_after_memory = milliseconds(1'000);
/** Retry-After for stopping. Other VMs take the client at once. */
constexpr auto retry_after_stopping = milliseconds(100);
/** Time before the stop by which requests have to end. */
constexpr auto stop_margin = milliseconds(200);
/** Minimum remaining time for a send: with less, no engine can start on the
 *  request. */
constexpr auto min_send_time = milliseconds(15);

} // namespace

exchange::exchange(traffic_context& context, client_stream& client,
                   const client_request& request, time_point received_at,
                   std::optional<relayed_request> relayed)
    : context_(context), client_(client), request_(request),
      started_(received_at), timer_(context.io),
      request_bytes_(client.charged()),
      send_count_(relayed ? relayed->sends : 0), relayed_(std::move(relayed))
{
}

connection_action exchange::run()
{
    context_.metrics.add(counter::requests);
    ++context_.open_requests;
    request_head_ = platform::decode_request(request_);
    initial_event_id_ = last_event_id_ = request_head_.resume_after.value_or(0);
    stream_ = stream_key(initial_event_id_ == 0
                             ? request_head_.id
                             : request_head_.resumed_stream.value());
    view_ = context_.view;
    keep_alive_ = request_.keep_alive() && !context_.draining &&
                  !context_.out_of_rotation;
    client_.set_close_handler([this] { cancel_send(); });
    client_.start_read();
    if (admit()) {
        timer_.expires_after(time_left());
        timer_.async_wait([this](const boost::system::error_code& stopped) {
            if (stopped)
                return;
            timed_out_ = true;
            cancel_send();
        });
        serve();
        if (stream_recorded_)
            context_.streams.record_ended(stream_, answered_,
                                          context_.clock.now());
        settle();
        finish();
        timer_.cancel();
    }
    client_.set_close_handler({});
    client_.end_request();
    --context_.open_requests;
    // The handler of a cancelled timer may still be queued and refers to this
    // object; the yield lets it run.
    fiber_sleep(context_.io, duration{});
    return keep_alive_ && !client_.closed() ? connection_action::keep
                                            : connection_action::close;
}

bool exchange::admit()
{
    if (!find_config())
        return false;
    if (!find_rules())
        return false;
    if (is_blocked() && !start_trial()) {
        context_.control.report_crashing_refused(traits());
        refuse(503, counter::refused_crashing, "crashes_engines",
               retry_after_blocked);
        return false;
    }
    set_deadline();
    if (may_outlast_stop()) {
        refuse(503, counter::refused_stopping, "stopping",
               retry_after_stopping);
        return false;
    }
    if (!take_place())
        return false;
    service_ = choose_service();
    if (!find_stream_origin())
        return false;
    set_placement_request();
    // Counted where the client sent it.
    if (!relayed_)
        context_.retries.record_request(service_, context_.clock.now());
    return reserve();
}

bool exchange::find_config()
{
    if (!view_ || !view_->config) {
        refuse(503, counter::refused_no_config, "no_configuration",
               retry_after_unavailable);
        return false;
    }
    config_ = view_->config;
    if (relayed_ && has_older_config()) {
        refuse(503, counter::refused_no_config, "older_configuration",
               retry_after_unavailable);
        return false;
    }
    return true;
}

bool exchange::take_place()
{
    const auto customer = customer_ == nullptr ? customer_id() : customer_->id;
    if (!client_.begin_request(customer)) {
        refuse(503, counter::refused_vm_full, "vm_full",
               retry_after_unavailable);
        return false;
    }
    const auto& limits = context_.memory.limits();
    if (!client_.charge(request_bytes_ + limits.engine_bytes)) {
        refuse(503, counter::refused_memory, "memory_short",
               retry_after_memory);
        return false;
    }
    return true;
}

void exchange::set_deadline()
{
    auto timeout = route_->timeout > milliseconds(0) ? route_->timeout
                                                     : milliseconds(60'000);
    if (request_head_.deadline)
        timeout = std::min(timeout, *request_head_.deadline);
    deadline_ = started_ + timeout;
}

void exchange::set_placement_request()
{
    placement_request_.service = service_;
    placement_request_.input = request_head_.input_tokens;
    placement_request_.output = request_head_.max_output_tokens;
    if (!route_->has_prompt)
        return;
    placement_request_.shared_prefix_id = request_head_.shared_prefix();
    placement_request_.shared = request_head_.shared_tokens();
}

bool exchange::may_outlast_stop() const
{
    if (!context_.draining ||
        deadline_ + duration(stop_margin) <= context_.stop_at)
        return false;
    // A client that the load balancer sent here can repeat what is cut off.
    return !route_->repeatable() ||
           context_.clock.now() > context_.balancer_left_at;
}

bool exchange::reserve()
{
    if (customer_ == nullptr || !customer_->prepaid || !route_->has_prompt ||
        (relayed_ && relayed_->paid))
        return true;
    if (!request_head_.valid_token_count) {
        refuse(400, counter::refused_token_count, "token_count");
        return false;
    }
    const auto charge = request_head_.max_charge();
    if (is_budget_kept()) {
        refuse(503, counter::refused_budget_kept, "budget_kept",
               retry_after_kept_budget);
        return false;
    }
    context_.credit.record_demand(customer_->id, charge, context_.clock.now());
    if (try_reserve(charge) || wait_for_headroom())
        return true;
    if (remaining_budget() < charge)
        refuse(402, counter::refused_budget_spent, "budget_spent");
    else
        refuse(503, counter::refused_budget_unknown, "no_headroom",
               retry_after_no_headroom());
    return false;
}

milliseconds exchange::retry_after_no_headroom() const
{
    const auto charge = request_head_.max_charge();
    const auto now = context_.clock.now();
    const auto renewed =
        context_.local_wallet.time_since_grant(customer_->id, now);
    const auto interval =
        ledger_plan_for(layout_for(context_.settings.store_writes_per_s))
            .renewal_interval;
    if (renewed && *renewed > duration(interval + max_renewal_delay)) {
        const auto wait = context_.local_wallet.time_until_headroom(
            customer_->id, charge, now, max_retry_after_headroom);
        return std::max(retry_after_ample_budget,
                        wait ? std::chrono::ceil<milliseconds>(*wait)
                             : max_retry_after_headroom);
    }
    return remaining_budget() > charge * ample_budget_requests
               ? retry_after_ample_budget
               : retry_after_scarce_budget;
}

bool exchange::is_budget_kept()
{
    // The client names no rank, so the route's tells its requests apart.
    const tail_request own{request_head_.max_charge(), route_->priority};
    if (!relayed_)
        context_.last_of_budgets.record(customer_->id, own);
    const auto left = remaining_budget();
    // A stream that the client has begun to read is finished.
    return !is_taken_up() && left >= own.charge &&
           !context_.last_of_budgets.admits(customer_->id, own,
                                            {*customer_->prepaid, left});
}

token_count exchange::remaining_budget() const
{
    return *customer_->prepaid - context_.local_wallet.consumed(customer_->id);
}

bool exchange::try_reserve(token_count charge)
{
    if (!is_taken_up() && context_.waiting_take_ups.count(customer_->id) > 0)
        return false;
    reserved_from_credit_ = context_.credit.reserve(customer_->id, charge);
    if (!reserved_from_credit_ &&
        !context_.local_wallet.reserve(customer_->id, charge,
                                       context_.clock.now()))
        return false;
    reserved_tokens_ = charge;
    return true;
}

bool exchange::wait_for_headroom()
{
    const auto charge = request_head_.max_charge();
    const auto now = context_.clock.now();
    if (remaining_budget() < charge)
        return false;
    if (is_taken_up()) {
        const auto place = context_.waiting_take_ups.insert(customer_->id);
        const bool reserved = poll_headroom(
            charge, std::min(now + duration(taken_up_wait_timeout),
                             now + time_left() / 2));
        context_.waiting_take_ups.erase(place);
        return reserved;
    }
    return context_.local_wallet.may_obtain(customer_->id, charge, now) &&
           poll_headroom(charge, std::min(now + duration(headroom_wait_timeout),
                                          deadline_));
}

bool exchange::poll_headroom(token_count charge, time_point wait_deadline)
{
    context_.local_wallet.begin_wait(customer_->id, charge);
    bool reserved = false;
    auto next_request = context_.clock.now();
    while (!reserved && context_.clock.now() < wait_deadline &&
           remaining_budget() >= charge && !client_.closed()) {
        if (context_.clock.now() >= next_request) {
            context_.control.request_budget(customer_->id, charge);
            next_request =
                context_.clock.now() + duration(taken_up_request_interval);
        }
        fiber_sleep(context_.io, headroom_poll_interval);
        reserved = try_reserve(charge);
    }
    context_.local_wallet.end_wait(customer_->id, charge);
    return reserved;
}

bool exchange::is_taken_up() const
{
    return initial_event_id_ > 0;
}

void exchange::try_engines()
{
    while (!is_finished() && (is_trial_ || !is_blocked())) {
        const auto engines = view_->engines.find(service_);
        if (engines == view_->engines.end() || !acquire_send())
            return;
        std::vector<engine_info> storage;
        const auto chosen = context_.selector.place(
            placement_request_, eligible_engines(engines->second, storage),
            tried_engines_, context_.clock.now());
        if (!chosen || !try_engine(*chosen))
            return;
        view_ = context_.view;
    }
}

bool exchange::acquire_send()
{
    if (send_count_ == 0)
        return true;
    if (is_trial_ || send_count_ >= route_->max_attempts)
        return false;
    if (context_.retries.try_acquire_retry(service_, view_->live_vms,
                                           context_.clock.now())) {
        context_.metrics.add(counter::retries);
        return true;
    }
    context_.metrics.add(counter::retries_denied);
    return false;
}

duration exchange::time_left() const
{
    return deadline_ - context_.clock.now();
}

duration exchange::elapsed() const
{
    return context_.clock.now() - started_;
}

bool exchange::is_finished() const
{
    return answered_ || timed_out_ || memory_short_ || client_.closed() ||
           time_left() < min_send_time;
}

void exchange::cancel_send()
{
    if (engine_connection_)
        engine_connection_->reset();
}

} // namespace rosemarydeck
