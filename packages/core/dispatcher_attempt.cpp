/** @file dispatcher_attempt.cpp Queueing, attempts and settlement. */
#include "core/dispatcher_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Weight of the newest reading in a smoothed rate. */
constexpr double smoothing = 0.1;
constexpr std::int64_t least_retry_ms = 100;
constexpr duration queue_check = std::chrono::milliseconds(100);

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
    const auto ahead = state.queue.cost_ahead(open.request.rank);
    const auto rate = state.tokens_per_second * static_cast<double>(slots);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / rate));
}

void dispatcher::enqueue(open_request& open)
{
    const auto id = open.request.id;
    const auto target = open.request.target;
    const auto limit = std::chrono::milliseconds(open.target.first_token_ms);
    const auto wait = predicted_wait(open);
    if (open.attempt == 0 && wait > limit) {
        if (open.claimed)
            claims_.abandon(id);
        release(open);
        const auto later = std::max(milliseconds(wait - limit), least_retry_ms);
        return drop(id, refusal_reason::would_be_late, ran_state::no, later);
    }
    open.step = request_step::queued;
    const waiting_request item{id,          open.customer, open.request.rank,
                               open.weight, open.amount,   context_.now};
    if (!state_of(target).queue.push(item)) {
        if (open.claimed)
            claims_.abandon(id);
        release(open);
        return drop(id, refusal_reason::overloaded,
                    open.attempt == 0 ? ran_state::no : ran_state::unknown,
                    least_retry_ms);
    }
    context_.record(timeline_kind::request_admitted, open.customer,
                    open.request.key);
    context_.schedule(limit, request_timer{id});
    pump(target);
}

void dispatcher::pump(const target_id& target)
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
                                     .excluded = open->excluded},
                                    context_.now);
        if (!server) {
            queue.push_front(std::move(*next));
            return;
        }
        dispatch(*open, *server);
    }
}

void dispatcher::pump_all()
{
    for (auto& [target, state] : targets_)
        if (state.queue.size() > 0)
            pump(target);
}

void dispatcher::dispatch(open_request& open, const server_id& server)
{
    const auto* entry = context_.servers.find(server);
    open.step = request_step::running;
    open.server = server;
    open.dispatched = context_.now;
    ++open.attempt;
    context_.servers.record_start(server);
    context_.record(
        timeline_kind::attempt_dispatched, open.customer, open.request.key,
        server.value() + ", attempt " + std::to_string(open.attempt));
    context_.act(dispatch_attempt{open.request.id, open.attempt, server,
                                  entry->address, entry->port, ++fence_,
                                  open.delivered});
}

void dispatcher::on_first_token(const attempt_first_token& event)
{
    auto* open = find(event.id);
    if (open == nullptr || open->attempt != event.attempt || open->first_token)
        return;
    open->first_token = context_.now;
    context_.record(timeline_kind::first_token, open->customer,
                    open->request.key);
}

void dispatcher::end_attempt(open_request& open)
{
    context_.servers.record_end(open.server);
}

void dispatcher::on_finished(const attempt_finished& event)
{
    auto* open = find(event.id);
    if (open == nullptr || open->step != request_step::running ||
        open->attempt != event.attempt)
        return;
    end_attempt(*open);
    context_.servers.record_success(open->server);
    if (open->claimed)
        claims_.mark_dispatched(event.id);
    const auto took =
        std::chrono::duration<double>(context_.now - open->dispatched);
    auto& rate = state_of(open->request.target).tokens_per_second;
    if (took.count() > 0) {
        const auto reading =
            static_cast<double>(event.usage.total()) / took.count();
        rate =
            rate == 0 ? reading : rate * (1 - smoothing) + reading * smoothing;
    }
    const auto target = open->request.target;
    if (!open->first_token)
        open->first_token = context_.now;
    bill draft;
    draft.customer = open->customer;
    draft.key = open->request.key;
    draft.target = target;
    draft.rank = open->request.rank;
    draft.usage = open->request.kind == server_kind::service
                      ? token_usage{0, context_.options.service_cost}
                      : event.usage;
    draft.timing = {milliseconds(*open->first_token - open->arrived),
                    milliseconds(context_.now - open->arrived)};
    draft.at_us = to_microseconds(context_.now);
    open->ended = record_of(*open);
    open->ended.charge = price_bill(draft, open->amount, open->target);
    if (open->unbilled)
        finish(*open);
    else
        settle(*open, key_state::finished);
    pump(target);
}

void dispatcher::settle(open_request& open, key_state state)
{
    open.step = request_step::settling;
    open.ended.state = state;
    send_settlement(open);
}

void dispatcher::send_settlement(open_request& open)
{
    const bool held_here = open.holder == context_.self();
    const auto to =
        context_.members.is_live(open.holder) && !(held_here && context_.sealed)
            ? open.holder
            : context_.owner_of(open.customer);
    context_.send(to, settle_request{open.holder, open.customer, open.ended});
    context_.schedule(context_.options.resend_interval,
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
                    "charged " + std::to_string(open.ended.charge.charged));
    if (open.key_given) {
        finished_[key] = {id, open.request.fingerprint, context_.now};
        finished_ids_[id] = key;
    }
    const bool keep = open.key_given;
    erase(id);
    context_.act(finish_request{id, keep});
}

void dispatcher::release(open_request& open)
{
    if (open.unbilled)
        return;
    auto record = record_of(open);
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

void dispatcher::on_failed(const attempt_failed& event)
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
        open->excluded.push_back(open->server);
        open->delivered = event.delivered;
        enqueue(*open);
    }
    else {
        const bool not_executed =
            event.failure == attempt_failure::not_sent && open->attempt == 1;
        abandon(*open, not_executed ? ran_state::no : ran_state::unknown);
    }
    pump(target);
}

void dispatcher::abandon(open_request& open, ran_state ran)
{
    const auto id = open.request.id;
    const bool ran_maybe = ran == ran_state::unknown || open.attempt > 0;
    if (open.claimed && !ran_maybe)
        claims_.abandon(id);
    else if (open.claimed)
        claims_.mark_dispatched(id);
    release(open);
    auto reason = refusal_reason::would_be_late;
    if (open.attempt > 0)
        reason = open.request.repeatable ? refusal_reason::server_failed
                                         : refusal_reason::outcome_unknown;
    drop(id, reason, ran_maybe ? ran_state::unknown : ran_state::no,
         least_retry_ms);
}

} // namespace rosemarydeck
