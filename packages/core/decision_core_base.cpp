/** @file decision_core_base.cpp Decisions of one VM, without I/O. */
#include "core/decision_core_base.hpp"

#include "common/overload_func.hpp"

#include <array>

namespace rosemarydeck
{

namespace
{

/** Period of the removal of expired keys and records. */
constexpr duration expiry_interval = std::chrono::seconds(10);

constexpr std::array refusal_reason_names{
    "not_ready",          "unknown_api_key",
    "target_not_allowed", "priority_not_allowed",
    "too_large",          "too_many_requests",
    "overloaded",         "would_be_late",
    "no_server",          "draining",
    "key_conflict",       "key_in_use",
    "budget_exhausted",   "budget_unavailable",
    "owner_unavailable",  "claim_unavailable",
    "server_failed",      "outcome_unknown"};

} // namespace

std::string_view name_of(refusal_reason reason)
{
    return refusal_reason_names.at(static_cast<std::size_t>(reason));
}

decision_core::decision_core(core_options options)
    : context_(std::move(options)), bill_writer_(context_), witness_(context_),
      owner_(context_, bill_writer_, witness_), dispatcher_(context_),
      adoption_manager_(context_, owner_, witness_, dispatcher_),
      config_sync_(context_)
{
    context_.schedule(duration{}, heartbeat_timer{});
    context_.schedule(duration{}, config_timer{});
    context_.schedule(expiry_interval, expiry_timer{});
}

std::vector<core_action> decision_core::handle(const core_event& event,
                                               time_point now)
{
    // The clock of the caller may step back; time-outs must not.
    context_.now = std::max(context_.now, now);
    // Timers first: after a long pause of the process, time-outs have to take
    // effect before the event is handled.
    handle_pending();
    std::visit([this](const auto& any_event) { on_event(any_event); }, event);
    handle_pending();
    if (context_.sealed && !context_.draining) {
        on_event(drain_self{});
        handle_pending();
    }
    finish_drain();
    for (auto& call : context_.platform.take_ready())
        context_.emit_action(std::move(call));
    return context_.take_actions();
}

void decision_core::handle_pending()
{
    while (true) {
        if (auto message = context_.take_local_message())
            on_message(context_.self(), *message);
        else if (auto timer = context_.take_due_timer())
            on_timer(*timer);
        else if (!context_.stale_grants.empty())
            for (const auto& grant : std::exchange(context_.stale_grants, {}))
                adoption_manager_.on_stale_grant(grant);
        else
            return;
    }
}

void decision_core::on_event(const caller_request& event)
{
    dispatcher_.on_request(event);
}

void decision_core::on_event(const caller_disconnected& event)
{
    dispatcher_.on_caller_disconnected(event.id);
}

void decision_core::on_event(const key_requested& event)
{
    dispatcher_.on_key_requested(event);
}

void decision_core::on_event(const answer_dropped& event)
{
    dispatcher_.on_answer_dropped(event.id);
}

void decision_core::on_event(const attempt_first_token& event)
{
    dispatcher_.on_first_token(event);
}

void decision_core::on_event(const attempt_finished& event)
{
    dispatcher_.on_attempt_finished(event);
}

void decision_core::on_event(const attempt_failed& event)
{
    dispatcher_.on_attempt_failed(event);
}

void decision_core::on_event(const peer_received& event)
{
    on_message(event.from, event.message);
}

void decision_core::on_event(const peer_connected& event)
{
    // A VM that has started again proves that its earlier instances ended.
    for (const auto& member : context_.members.members_in_own_data_centre()) {
        const auto* known = context_.members.find(member);
        if (known->vm == event.info.vm && known->started < event.info.started)
            on_member_changes(context_.members.mark_gone(member));
    }
    on_member_changes(
        context_.members.record_heartbeat(event.info, context_.now));
    send_heartbeats();
}

void decision_core::on_event(const peer_disconnected& event)
{
    on_member_changes(context_.members.suspect(event.instance));
}

void decision_core::on_event(const platform_answered& event)
{
    const auto purpose = context_.platform.end_call(event.call);
    if (purpose)
        on_platform_answer(*purpose, event.result);
}

void decision_core::on_event(const server_reported& event)
{
    const bool was_staying = !context_.servers.is_leaving(event.server);
    context_.servers.record_load(event.server, event.load, context_.now);
    if (was_staying && context_.servers.is_leaving(event.server))
        on_event(drain_server{event.server});
    dispatcher_.dispatch_all_queued();
}

void decision_core::on_event(const drain_server& event)
{
    context_.servers.mark_leaving(event.server);
    context_.record(timeline_kind::server_leaving, {}, {},
                    event.server.value());
    for (const auto& member : context_.members.live_members())
        context_.send(member.instance, server_notice{event.server});
}

void decision_core::on_event(const drain_self&)
{
    if (context_.draining)
        return;
    context_.draining = true;
    context_.record(timeline_kind::draining);
    send_heartbeats();
    owner_.begin_drain();
}

void decision_core::on_event(const clock_tick&) {}

void decision_core::on_message(const instance_id& from,
                               const peer_message& message)
{
    std::visit(
        overload{
            [&](const heartbeat& body) { on_heartbeat(from, body); },
            [&](const config_pull& body) { config_sync_.on_pull(from, body); },
            [&](const config_push& body) { config_sync_.on_push(from, body); },
            [&](const reserve_request& body) { owner_.on_reserve(from, body); },
            [&](const reserve_reply& body) {
                dispatcher_.on_reserve_reply(body);
            },
            [&](const settle_request& body) { owner_.on_settle(from, body); },
            [&](const settle_reply& body) {
                owner_.on_orphan_settled(from, body);
                dispatcher_.on_settle_reply(body);
            },
            [&](const witness_put& body) { witness_.on_put(from, body); },
            [&](const witness_ack& body) { owner_.on_witness_ack(from, body); },
            [&](const witness_stored& body) {
                witness_.on_bills_stored(from, body);
            },
            [&](const witness_synced&) { witness_.on_synced(from); },
            [&](const running_notice& body) { owner_.on_running_notice(body); },
            [&](const seal_notice& body) {
                adoption_manager_.on_seal_notice(from, body);
            },
            [&](const recall_request& body) { owner_.on_recall(from, body); },
            [&](const recall_reply& body) { owner_.on_recall_reply(body); },
            [&](const billed_digest& body) { owner_.on_digest(from, body); },
            [&](const digest_reply& body) {
                owner_.on_digest_reply(from, body);
            },
            [&](const server_notice& body) {
                context_.servers.mark_leaving(body.server);
            },
            [&](const shutdown_notice& body) {
                on_member_changes(context_.members.mark_gone(body.instance));
            }},
        message);
}

void decision_core::on_heartbeat(const instance_id& from,
                                 const heartbeat& message)
{
    context_.clock.observe(message.when);
    on_member_changes(message.draining ? context_.members.suspect(from)
                                       : context_.members.record_heartbeat(
                                             message.info, context_.now));
    config_sync_.on_heartbeat(from, message.revision);
}

void decision_core::on_timer(const core_timer& timer)
{
    std::visit(
        overload{
            [&](const heartbeat_timer&) {
                send_heartbeats();
                on_member_changes(
                    context_.members.check_timeouts(context_.now));
                mark_unlisted_gone();
                owner_.send_digests();
                dispatcher_.dispatch_all_queued();
                context_.schedule(context_.options.heartbeat_interval,
                                  heartbeat_timer{});
            },
            [&](const renew_timer& due) {
                owner_.on_renew_timer(due.customer);
            },
            [&](const waiting_timer& due) {
                owner_.on_waiting_timer(due.customer);
            },
            [&](const bills_timer&) { bill_writer_.on_timer(); },
            [&](const config_timer&) { config_sync_.on_timer(); },
            [&](const request_timer& due) { dispatcher_.on_timer(due.id); },
            [&](const claim_timer& due) { dispatcher_.on_claim_timer(due.id); },
            [&](const adoption_timer& due) { adoption_manager_.on_timer(due); },
            [&](const expiry_timer&) {
                owner_.remove_expired();
                witness_.remove_expired();
                dispatcher_.remove_expired();
                adoption_manager_.remove_expired();
                context_.schedule(expiry_interval, expiry_timer{});
            }},
        timer);
}

void decision_core::on_platform_answer(const call_purpose& purpose,
                                       const platform_result& result)
{
    std::visit(
        overload{
            [&](const claim_purpose& call) {
                dispatcher_.on_claim_answer(call.id, result);
            },
            [&](const bills_purpose&) {
                owner_.on_bills_stored(bill_writer_.on_answer(result));
            },
            [&](const renewal_purpose& call) {
                owner_.on_renewal_answer(call.customer, result);
            },
            [&](const adoption_purpose& call) {
                adoption_manager_.on_answer(call, result);
            },
            [&](const config_purpose&) { config_sync_.on_answer(result); }},
        purpose);
}

void decision_core::on_member_changes(const std::vector<member_change>& changes)
{
    if (changes.empty())
        return;
    const auto live_vm_count =
        context_.members.live_in(context_.data_centre()).size();
    context_.servers.set_vm_count(static_cast<std::int64_t>(live_vm_count));
    config_sync_.on_members_changed();
    owner_.on_members_changed();
    dispatcher_.on_members_changed();
    adoption_manager_.on_members_changed();
    for (const auto& change : changes) {
        const auto* member = context_.members.find(change.instance);
        const bool is_local = member->data_centre == context_.data_centre();
        switch (change.state) {
        case member_state::live:
            context_.record(timeline_kind::peer_up, {}, {},
                            change.instance.value());
            owner_.on_member_up(change.instance);
            break;
        case member_state::suspected:
            owner_.on_member_down(change.instance);
            context_.record(timeline_kind::peer_down, {}, {},
                            change.instance.value());
            break;
        case member_state::gone:
            context_.record(timeline_kind::peer_gone, {}, {},
                            change.instance.value());
            if (is_local)
                adoption_manager_.on_vm_gone(change.instance);
            break;
        case member_state::probation:
            break;
        }
    }
}

void decision_core::send_heartbeats()
{
    const heartbeat message{context_.options.self,
                            context_.clock.next(context_.now),
                            context_.config.revision(), context_.draining};
    for (const auto& instance : context_.members.known())
        context_.send(instance, message);
}

void decision_core::mark_unlisted_gone()
{
    // The platform's list may be out of date, so only a VM that is suspected
    // as well is taken as gone.
    const auto& listed = context_.config.vms();
    if (listed.empty())
        return;
    for (const auto& instance : context_.members.known()) {
        const auto* member = context_.members.find(instance);
        const bool is_suspected =
            context_.members.state_of(instance) == member_state::suspected;
        if (is_suspected && listed.find(member->vm) == listed.end())
            on_member_changes(context_.members.mark_gone(instance));
    }
}

void decision_core::finish_drain()
{
    if (!context_.draining || shutdown_notice_sent_)
        return;
    const bool idle = dispatcher_.open_count() == 0 && owner_.drained() &&
                      bill_writer_.size() == 0;
    if (!idle)
        return;
    shutdown_notice_sent_ = true;
    for (const auto& member : context_.members.live_members())
        context_.send(member.instance, shutdown_notice{context_.self()});
    context_.emit_action(drained{});
}

core_status decision_core::status() const
{
    core_status result;
    result.self = context_.options.self;
    result.revision = context_.config.revision();
    result.draining = context_.draining;
    result.watcher = config_sync_.is_watcher();
    result.open_requests = dispatcher_.open_count();
    result.unflushed_bills = bill_writer_.size();
    result.customers = owner_.customer_count();
    result.witness_records = witness_.size();
    result.unfinished_adoptions = adoption_manager_.unfinished();
    result.live = context_.members.live_members();
    for (const auto& id : context_.servers.all()) {
        const auto* entry = context_.servers.find(id);
        result.servers.push_back(
            {id, entry->data_centre, context_.servers.outstanding(id),
             entry->slots, context_.servers.is_leaving(id)});
    }
    return result;
}

} // namespace rosemarydeck
