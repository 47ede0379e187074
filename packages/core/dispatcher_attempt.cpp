/** @file dispatcher_attempt.cpp Queueing, attempts and settlement. */
#include "core/dispatcher_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Weight of the newest sample in the smoothed token rate. */
constexpr double token_rate_smoothing = 0.1;
/** Minimum of the pause before a retry that callers are told. */
constexpr std::int64_t min_retry_after_ms = 100;
constexpr duration queue_check_interval = std::chrono::milliseconds(100);

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

dispatcher::target_state& dispatcher::state_of(const target_id& target)
{
    return targets_[target];
}

duration dispatcher::predicted_wait(const open_request& open)
{
    const auto& state = state_of(open.request.target);
    const auto slots =
        context_.servers.slots_for(open.request.target, context_.now);
    if (state.tokens_per_second <= 0 || slots <= 0)
        return {};
    const auto tokens_ahead = state.queue.cost_ahead(open.request.rank);
    const auto rate = state.tokens_per_second * static_cast<double>(slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(tokens_ahead) / rate));
}

void dispatcher::enqueue(open_request& open)
{
    const auto id = open.request.id;
    const auto target = open.request.target;
    const auto first_token_timeout =
        std::chrono::milliseconds(open.latency.first_token_ms);
    const auto wait = predicted_wait(open);
    if (open.attempt == 0 && wait > first_token_timeout) {
        if (open.claimed)
            claims_.abandon(id);
        release_reservation(open);
        const auto retry_after_ms = std::max(
            milliseconds(wait - first_token_timeout), min_retry_after_ms);
        return refuse_open(id, refusal_reason::would_be_late, ran_state::no,
                           retry_after_ms);
    }
    open.step = request_step::queued;
    const waiting_request item{id,          open.customer, open.request.rank,
                               open.weight, open.amount,   context_.now};
    if (!state_of(target).queue.push(item)) {
        if (open.claimed)
            claims_.abandon(id);
        release_reservation(open);
        return refuse_open(id, refusal_reason::overloaded,
                           open.attempt == 0 ? ran_state::no
                                             : ran_state::unknown,
                           min_retry_after_ms);
    }
    context_.record(timeline_kind::request_admitted, open.customer,
                    open.request.key);
    context_.schedule(first_token_timeout, request_timer{id});
    dispatch_queued(target);
}

void dispatcher::dispatch_queued(const target_id& target)
{
    auto& queue = state_of(target).queue;
    while (auto next = queue.pop()) {
        auto* open = find(next->id);
        if (open == nullptr)
            continue;
        const auto server =
            context_.servers.choose({.target = target,
                                     .data_centre = context_.data_centre(),
                                     .prefix_hash = open->request.prefix_hash,
                                     .excluded = open->excluded_servers},
                                    context_.now);
        if (!server) {
            queue.push_front(std::move(*next));
            return;
        }
        dispatch(*open, *server);
    }
}

void dispatcher::dispatch_all_queued()
{
    for (auto& [target, state] : targets_)
        if (state.queue.size() > 0)
            dispatch_queued(target);
}

void dispatcher::dispatch(open_request& open, const server_id& server)
{
    const auto* entry = context_.servers.find(server);
    open.step = request_step::running;
    open.server = server;
    open.dispatched_at = context_.now;
    ++open.attempt;
    context_.servers.record_start(server);
    context_.record(
        timeline_kind::attempt_dispatched, open.customer, open.request.key,
        server.value() + ", attempt " + std::to_string(open.attempt));
    context_.emit_action(
        dispatch_attempt{open.request.id, open.attempt, server, entry->address,
                         entry->port, ++last_fence_, open.delivered_tokens});
}

void dispatcher::on_first_token(const attempt_first_token& event)
{
    auto* open = find(event.id);
    if (open == nullptr || open->attempt != event.attempt ||
        open->first_token_at)
        return;
    open->first_token_at = context_.now;
    context_.record(timeline_kind::first_token, open->customer,
                    open->request.key);
}

void dispatcher::end_attempt(open_request& open)
{
    context_.servers.record_end(open.server);
}

void dispatcher::on_attempt_finished(const attempt_finished& event)
{
    auto* open = find(event.id);
    if (open == nullptr || open->step != request_step::running ||
        open->attempt != event.attempt)
        return;
    end_attempt(*open);
    context_.servers.record_success(open->server);
    if (open->claimed)
        claims_.keep_taken(event.id);
    const auto run_time =
        std::chrono::duration<double>(context_.now - open->dispatched_at);
    auto& rate = state_of(open->request.target).tokens_per_second;
    if (run_time.count() > 0) {
        const auto sample =
            static_cast<double>(event.usage.total()) / run_time.count();
        rate = rate == 0 ? sample
                         : rate * (1 - token_rate_smoothing) +
                               sample * token_rate_smoothing;
    }
    const auto target = open->request.target;
    if (!open->first_token_at)
        open->first_token_at = context_.now;
    bill new_bill;
    new_bill.customer = open->customer;
    new_bill.key = open->request.key;
    new_bill.target = target;
    new_bill.rank = open->request.rank;
    new_bill.usage = open->request.kind == server_kind::service
                         ? token_usage{0, context_.options.service_call_tokens}
                         : event.usage;
    new_bill.timing = {milliseconds(*open->first_token_at - open->arrived_at),
                       milliseconds(context_.now - open->arrived_at)};
    new_bill.at_us = to_microseconds(context_.now);
    open->final_record = make_key_record(*open);
    open->final_record.charge =
        price_bill(new_bill, open->amount, open->latency);
    if (open->unbilled)
        finish(*open);
    else
        settle(*open, key_state::finished);
    dispatch_queued(target);
}

void dispatcher::settle(open_request& open, key_state state)
{
    open.step = request_step::settling;
    open.final_record.state = state;
    send_settlement(open);
}

void dispatcher::send_settlement(open_request& open)
{
    const bool is_holder = open.holder == context_.self();
    const auto to =
        context_.members.is_live(open.holder) && !(is_holder && context_.sealed)
            ? open.holder
            : context_.owner_of(open.customer);
    context_.send(
        to, settle_request{open.holder, open.customer, open.final_record});
    context_.schedule(context_.options.peer_resend_interval,
                      request_timer{open.request.id});
}

void dispatcher::on_settle_reply(const settle_reply& reply)
{
    auto* open = find(reply.id);
    if (open != nullptr && open->step == request_step::settling)
        finish(*open);
}

void dispatcher::finish(open_request& open)
{
    const auto id = open.request.id;
    const customer_key key{open.customer, open.request.key};
    context_.record(timeline_kind::request_finished, key.customer, key.key,
                    "charged " +
                        std::to_string(open.final_record.charge.charged));
    if (open.key_from_caller) {
        finished_requests_[key] = {id, open.request.fingerprint, context_.now};
        finished_keys_by_id_[id] = key;
    }
    const bool keep_answer = open.key_from_caller;
    erase(id);
    context_.emit_action(finish_request{id, keep_answer});
}

void dispatcher::release_reservation(open_request& open)
{
    if (open.unbilled)
        return;
    auto record = make_key_record(open);
    record.state = key_state::released;
    const auto to =
        open.holder.empty() || !context_.members.is_live(open.holder)
            ? context_.owner_of(open.customer)
            : open.holder;
    context_.send(to, settle_request{open.holder, open.customer, record});
}

bool dispatcher::may_retry(const open_request& open,
                           const attempt_failed& event) const
{
    if (open.attempt >= context_.options.max_attempts)
        return false;
    if (event.failure == attempt_failure::not_sent)
        return true;
    if (!open.request.repeatable)
        return false;
    const auto* entry = context_.servers.find(open.server);
    const bool resumes = entry != nullptr && entry->resumes;
    return event.delivered == 0 || resumes;
}

void dispatcher::on_attempt_failed(const attempt_failed& event)
{
    auto* open = find(event.id);
    if (open == nullptr || open->step != request_step::running ||
        open->attempt != event.attempt)
        return;
    end_attempt(*open);
    context_.servers.record_failure(open->server, context_.now);
    context_.record(timeline_kind::attempt_failed, open->customer,
                    open->request.key, open->server.value());
    const auto target = open->request.target;
    if (may_retry(*open, event)) {
        open->excluded_servers.push_back(open->server);
        open->delivered_tokens = event.delivered;
        enqueue(*open);
    }
    else {
        const bool was_never_sent =
            event.failure == attempt_failure::not_sent && open->attempt == 1;
        refuse_failed(*open,
                      was_never_sent ? ran_state::no : ran_state::unknown);
    }
    dispatch_queued(target);
}

void dispatcher::refuse_failed(open_request& open, ran_state ran)
{
    const auto id = open.request.id;
    const bool may_have_run = ran == ran_state::unknown || open.attempt > 0;
    if (open.claimed && !may_have_run)
        claims_.abandon(id);
    else if (open.claimed)
        claims_.keep_taken(id);
    release_reservation(open);
    auto reason = refusal_reason::would_be_late;
    if (open.attempt > 0)
        reason = open.request.repeatable ? refusal_reason::server_failed
                                         : refusal_reason::outcome_unknown;
    refuse_open(id, reason, may_have_run ? ran_state::unknown : ran_state::no,
                min_retry_after_ms);
}

} // namespace rosemarydeck
