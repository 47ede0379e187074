/** @file decision_core_base.cpp All decisions of one VM, without I/O. */
#include "core/decision_core_base.hpp"

#include "common/overload_func.hpp"

#include <array>

namespace rosemarydeck
{

namespace
{

constexpr duration expiry_interval = std::chrono::seconds(10);

constexpr std::array reason_names{"not_ready",          "unknown_api_key",
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
    return reason_names.at(static_cast<std::size_t>(reason));
}

decision_core::decision_core(core_options options)
    : context_(std::move(options)), bills_(context_), witness_(context_),
      owner_(context_, bills_, witness_), dispatcher_(context_),
      adoption_(context_, owner_, witness_, dispatcher_), config_sync_(context_)
{
    context_.schedule(duration{}, heartbeat_timer{});
    context_.schedule(duration{}, config_timer{});
    context_.schedule(expiry_interval, expiry_timer{});
}

std::vector<core_action> decision_core::handle(const core_event& event,
                                               time_point now)
{
    // Time never runs backwards for the decisions, whatever is passed in.
    context_.now = std::max(context_.now, now);
    // Timers first: after a long pause, what has lapsed must be known to
    // have lapsed before the event is judged.
    run_pending();
    std::visit([this](const auto& one) { on_event(one); }, event);
    run_pending();
    if (context_.sealed && !context_.draining) {
        on_event(drain_self{});
        run_pending();
    }
    check_drained();
    for (auto& call : context_.platform.take_ready())
        context_.act(std::move(call));
    return context_.take_actions();
}

void decision_core::run_pending()
{
    while (true) {
        if (auto message = context_.take_local_message())
            on_message(context_.self(), *message);
        else if (auto timer = context_.take_due_timer())
            on_timer(*timer);
        else if (!context_.stale_grants.empty())
            for (const auto& grant : std::exchange(context_.stale_grants, {}))
                adoption_.on_stale_grant(grant);
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
    dispatcher_.on_gone(event.id);
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
    dispatcher_.on_finished(event);
}

void decision_core::on_event(const attempt_failed& event)
{
    dispatcher_.on_failed(event);
}

void decision_core::on_event(const peer_received& event)
{
    on_message(event.from, event.message);
}

void decision_core::on_event(const peer_connected& event)
{
    // A later start of a VM is the end of its earlier ones.
    for (const auto& member : context_.members.possible_peers()) {
        const auto* known = context_.members.find(member);
        if (known->vm == event.info.vm && known->started < event.info.started)
            on_member_changes(context_.members.mark_gone(member));
    }
    on_member_changes(
        context_.members.record_heartbeat(event.info, context_.now));
    beat();
}

void decision_core::on_event(const peer_disconnected& event)
{
    on_member_changes(context_.members.suspect(event.instance));
}

void decision_core::on_event(const platform_answered& event)
{
    const auto purpose = context_.platform.answered(event.call);
    if (purpose)
        on_purpose(*purpose, event.result);
}

void decision_core::on_event(const server_reported& event)
{
    const bool stayed = !context_.servers.is_leaving(event.server);
    context_.servers.record_load(event.server, event.load, context_.now);
    if (stayed && context_.servers.is_leaving(event.server))
        on_event(drain_server{event.server});
    dispatcher_.pump_all();
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
    beat();
    owner_.begin_drain();
}

void decision_core::on_event(const clock_tick&) {}

void decision_core::on_message(const instance_id& from,
                               const peer_message& message)
{
    std::visit(
        overload{
            [&](const heartbeat& one) { on_heartbeat(from, one); },
            [&](const config_pull& one) { config_sync_.on_pull(from, one); },
            [&](const config_push& one) { config_sync_.on_push(from, one); },
            [&](const reserve_request& one) { owner_.on_reserve(from, one); },
            [&](const reserve_reply& one) {
                dispatcher_.on_reserve_reply(one);
            },
            [&](const settle_request& one) { owner_.on_settle(from, one); },
            [&](const settle_reply& one) {
                owner_.on_orphan_settled(from, one);
                dispatcher_.on_settle_reply(one);
            },
            [&](const witness_put& one) { witness_.on_put(from, one); },
            [&](const witness_ack& one) { owner_.on_witness_ack(from, one); },
            [&](const witness_stored& one) {
                witness_.on_bills_stored(from, one);
            },
            [&](const witness_synced&) { witness_.on_synced(from); },
            [&](const running_notice& one) { owner_.on_running_notice(one); },
            [&](const seal_notice& one) {
                adoption_.on_seal_notice(from, one);
            },
            [&](const recall_request& one) { owner_.on_recall(from, one); },
            [&](const recall_reply& one) { owner_.on_recall_reply(one); },
            [&](const billed_digest& one) { owner_.on_digest(from, one); },
            [&](const digest_reply& one) { owner_.on_digest_reply(from, one); },
            [&](const server_notice& one) {
                context_.servers.mark_leaving(one.server);
            },
            [&](const shutdown_notice& one) {
                on_member_changes(context_.members.mark_gone(one.instance));
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
                beat();
                on_member_changes(
                    context_.members.check_timeouts(context_.now));
                retire_unlisted();
                owner_.send_digests();
                dispatcher_.pump_all();
                context_.schedule(context_.options.heartbeat_interval,
                                  heartbeat_timer{});
            },
            [&](const renew_timer& one) {
                owner_.on_renew_timer(one.customer);
            },
            [&](const waiting_timer& one) {
                owner_.on_waiting_timer(one.customer);
            },
            [&](const bills_timer&) { bills_.on_timer(); },
            [&](const config_timer&) { config_sync_.on_timer(); },
            [&](const request_timer& one) { dispatcher_.on_timer(one.id); },
            [&](const claim_timer& one) { dispatcher_.on_claim_timer(one.id); },
            [&](const adoption_timer& one) { adoption_.on_timer(one); },
            [&](const expiry_timer&) {
                owner_.remove_expired();
                witness_.remove_expired();
                dispatcher_.remove_expired();
                adoption_.remove_expired();
                context_.schedule(expiry_interval, expiry_timer{});
            }},
        timer);
}

void decision_core::on_purpose(const call_purpose& purpose,
                               const platform_result& result)
{
    std::visit(overload{[&](const claim_purpose& one) {
                            dispatcher_.on_claim_answer(one.id, result);
                        },
                        [&](const bills_purpose&) {
                            owner_.on_bills_stored(bills_.on_answer(result));
                        },
                        [&](const renewal_purpose& one) {
                            owner_.on_renewal_answer(one.customer, result);
                        },
                        [&](const adoption_purpose& one) {
                            adoption_.on_answer(one, result);
                        },
                        [&](const config_purpose&) {
                            config_sync_.on_answer(result);
                        }},
               purpose);
}

void decision_core::on_member_changes(const std::vector<member_change>& changes)
{
    if (changes.empty())
        return;
    const auto sharing =
        context_.members.live_in(context_.data_centre()).size();
    context_.servers.set_vm_count(static_cast<std::int64_t>(sharing));
    config_sync_.on_members_changed();
    owner_.on_members_changed();
    dispatcher_.on_members_changed();
    adoption_.on_members_changed();
    for (const auto& change : changes) {
        const auto* member = context_.members.find(change.instance);
        const bool here = member->data_centre == context_.data_centre();
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
            if (here)
                adoption_.on_gone(change.instance);
            break;
        case member_state::probation:
            break;
        }
    }
}

void decision_core::beat()
{
    const heartbeat message{context_.options.self,
                            context_.clock.next(context_.now),
                            context_.config.revision(), context_.draining};
    for (const auto& instance : context_.members.known())
        context_.send(instance, message);
}

void decision_core::retire_unlisted()
{
    // The platform's list lags, so a VM that is heard stays, listed or not.
    const auto& listed = context_.config.vms();
    if (listed.empty())
        return;
    for (const auto& instance : context_.members.known()) {
        const auto* member = context_.members.find(instance);
        const bool silent =
            context_.members.state_of(instance) == member_state::suspected;
        if (silent && listed.find(member->vm) == listed.end())
            on_member_changes(context_.members.mark_gone(instance));
    }
}

void decision_core::check_drained()
{
    if (!context_.draining || said_goodbye_)
        return;
    const bool idle =
        dispatcher_.open_count() == 0 && owner_.drained() && bills_.size() == 0;
    if (!idle)
        return;
    said_goodbye_ = true;
    for (const auto& member : context_.members.live_members())
        context_.send(member.instance, shutdown_notice{context_.self()});
    context_.act(drained{});
}

core_status decision_core::status() const
{
    core_status now;
    now.self = context_.options.self;
    now.revision = context_.config.revision();
    now.draining = context_.draining;
    now.watcher = config_sync_.is_watcher();
    now.open_requests = dispatcher_.open_count();
    now.unflushed_bills = bills_.size();
    now.customers = owner_.customer_count();
    now.witness_records = witness_.size();
    now.unfinished_adoptions = adoption_.unfinished();
    now.live = context_.members.live_members();
    for (const auto& id : context_.servers.all()) {
        const auto* entry = context_.servers.find(id);
        now.servers.push_back({id, entry->data_centre,
                               context_.servers.outstanding(id), entry->slots,
                               context_.servers.is_leaving(id)});
    }
    return now;
}

} // namespace rosemarydeck
