/** @file dispatcher_base.cpp Admission, reservation, claims and retries. */
#include "core/dispatcher_base.hpp"

#include "request/generated_key_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t default_retry_after_ms = 500;
constexpr std::int64_t draining_retry_after_ms = 100;
/** Longer than reserve_timeout, so that the owner's refusal comes first. */
constexpr duration owner_reply_timeout = std::chrono::seconds(4);

template <class Container, class Value>
bool contains(const Container& container, const Value& value)
{
    return std::find(container.begin(), container.end(), value) !=
           container.end();
}

} // namespace

dispatcher::dispatcher(core_context& context)
    : context_(context), claims_(context)
{
}

dispatcher::open_request* dispatcher::find(request_id id)
{
    const auto found = open_requests_.find(id);
    return found == open_requests_.end() ? nullptr : &found->second;
}

token_count dispatcher::reservation_amount(const caller_request& request) const
{
    if (request.kind == server_kind::service)
        return context_.options.service_call_tokens;
    const auto output = request.max_output > 0
                            ? request.max_output
                            : context_.options.default_max_output_tokens;
    return request.max_prompt_tokens + output;
}

std::optional<refusal_reason>
dispatcher::check_request(const caller_request& request,
                          const customer_id* customer, token_count amount) const
{
    if (context_.draining)
        return refusal_reason::draining;
    if (customer == nullptr)
        return context_.config.revision() == 0
                   ? refusal_reason::not_ready
                   : refusal_reason::unknown_api_key;
    const auto* customer_allowance =
        context_.config.customer_allowance(*customer);
    if (customer_allowance == nullptr ||
        !contains(customer_allowance->targets, request.target))
        return refusal_reason::target_not_allowed;
    if (!contains(customer_allowance->priorities, request.rank))
        return refusal_reason::priority_not_allowed;
    if (amount > customer_allowance->max_tokens)
        return refusal_reason::too_large;
    if (open_requests_.size() >= context_.options.max_open_requests)
        return refusal_reason::overloaded;
    return std::nullopt;
}

void dispatcher::on_request(const caller_request& request)
{
    const auto* customer = context_.config.customer_of_key(request.api_key);
    const auto amount = reservation_amount(request);
    const auto refusal = check_request(request, customer, amount);
    if (refusal)
        return refuse(
            request.id, *refusal, ran_state::no,
            *refusal == refusal_reason::draining ? draining_retry_after_ms : 0);
    auto key = request.key;
    if (key.empty())
        key = make_generated_key(context_.self(), ++last_generated_key_);
    const customer_key full_key{*customer, key};
    if (answer_for_known_key(full_key, request) ||
        answer_for_issued_key(full_key, request))
        return;
    if (!context_.servers.serves(request.target, context_.now))
        return refuse(request.id, refusal_reason::no_server, ran_state::no,
                      default_retry_after_ms);
    const auto* plan = context_.config.plan(*customer);
    auto& open = open_requests_[request.id];
    open.request = request;
    open.key_from_caller = !request.key.empty();
    open.request.key = key;
    open.customer = *customer;
    open.amount = amount;
    open.weight = plan->weight;
    open.latency = plan->targets[static_cast<std::size_t>(request.rank)];
    open.arrived_at = context_.now;
    open_requests_by_key_[full_key] = request.id;
    reserve(open);
}

bool dispatcher::answer_for_known_key(const customer_key& key,
                                      const caller_request& request)
{
    const auto running = open_requests_by_key_.find(key);
    if (running != open_requests_by_key_.end()) {
        auto& original = open_requests_.at(running->second);
        if (original.request.fingerprint != request.fingerprint)
            refuse(request.id, refusal_reason::key_conflict);
        else {
            ++original.joined_count;
            context_.record(timeline_kind::request_joined, key.customer,
                            key.key);
            context_.emit_action(join_request{request.id, running->second});
        }
        return true;
    }
    const auto finished = finished_requests_.find(key);
    if (finished == finished_requests_.end())
        return false;
    if (finished->second.fingerprint != request.fingerprint)
        refuse(request.id, refusal_reason::key_conflict);
    else
        context_.emit_action(join_request{request.id, finished->second.id});
    return true;
}

bool dispatcher::answer_for_issued_key(const customer_key& key,
                                       const caller_request& request)
{
    const auto issuer = claim_registry::issuer_of(key.key);
    if (issuer.empty() || issuer == context_.self())
        return false;
    if (context_.members.is_live(issuer) && !request.relayed)
        relay(request, issuer);
    else
        // Only the issuer can claim the key, and it can't be reached.
        refuse(request.id, refusal_reason::outcome_unknown, ran_state::unknown,
               default_retry_after_ms);
    return true;
}

void dispatcher::on_key_requested(const key_requested& request)
{
    const auto* customer = context_.config.customer_of_key(request.api_key);
    if (customer == nullptr)
        return refuse(request.id, refusal_reason::unknown_api_key);
    if (context_.draining)
        return refuse(request.id, refusal_reason::draining, ran_state::no,
                      draining_retry_after_ms);
    context_.emit_action(issue_key{request.id, claims_.issue(*customer)});
}

void dispatcher::reserve(open_request& open)
{
    const auto owner = context_.owner_of(open.customer);
    context_.send(
        owner, reserve_request{open.request.id, open.customer, open.request.key,
                               open.request.fingerprint, open.amount});
    context_.schedule(context_.options.peer_resend_interval,
                      request_timer{open.request.id});
}

void dispatcher::on_reserve_reply(const reserve_reply& reply)
{
    auto* open = find(reply.id);
    if (open == nullptr || open->step != request_step::reserving)
        return;
    const auto id = reply.id;
    const auto after = reply.retry_after_ms;
    switch (reply.outcome) {
    case reserve_outcome::reserved:
        open->holder = reply.holder;
        return claim_or_enqueue(*open);
    case reserve_outcome::rerun:
        if (!open->request.repeatable)
            return refuse_open(id, refusal_reason::outcome_unknown,
                               ran_state::unknown);
        open->unbilled = true;
        return claim_or_enqueue(*open);
    case reserve_outcome::running:
    case reserve_outcome::finished: {
        const auto request = open->request;
        erase(id);
        return relay(request, reply.runner);
    }
    case reserve_outcome::key_conflict:
        return refuse_open(id, refusal_reason::key_conflict, ran_state::no);
    case reserve_outcome::exhausted:
        return refuse_open(id, refusal_reason::budget_exhausted, ran_state::no,
                           after);
    case reserve_outcome::unavailable:
        return refuse_open(id, refusal_reason::budget_unavailable,
                           ran_state::no, after);
    case reserve_outcome::over_limit:
        return refuse_open(id, refusal_reason::too_many_requests, ran_state::no,
                           after);
    }
}

void dispatcher::relay(const caller_request& request, const instance_id& to)
{
    const auto* member = context_.members.find(to);
    if (member == nullptr || request.relayed)
        return refuse(request.id, refusal_reason::key_in_use,
                      ran_state::unknown, default_retry_after_ms);
    context_.record(timeline_kind::request_joined, {}, request.key,
                    "relayed to " + to.value());
    context_.emit_action(
        relay_request{request.id, member->address, member->caller_port});
}

void dispatcher::claim_or_enqueue(open_request& open)
{
    if (open.request.repeatable || open.claimed)
        return enqueue(open);
    open.step = request_step::claiming;
    const auto result =
        claims_.start(open.request.id, open.customer, open.request.key,
                      open.request.fingerprint);
    if (result)
        on_claim(*result);
}

void dispatcher::on_claim_answer(request_id id, const platform_result& result)
{
    const auto outcome = claims_.on_answer(id, result);
    if (outcome)
        on_claim(*outcome);
}

void dispatcher::on_claim_timer(request_id id)
{
    claims_.on_timer(id);
}

void dispatcher::on_claim(const claim_result& result)
{
    auto* open = find(result.id);
    if (open == nullptr || open->step != request_step::claiming) {
        claims_.abandon(result.id);
        return;
    }
    if (result.outcome == claim_outcome::taken) {
        open->claimed = true;
        return enqueue(*open);
    }
    release_reservation(*open);
    if (result.outcome == claim_outcome::unavailable)
        return refuse_open(result.id, refusal_reason::claim_unavailable,
                           ran_state::no, default_retry_after_ms);
    const bool elsewhere = result.claimant != context_.self() &&
                           context_.members.is_live(result.claimant);
    if (!elsewhere || open->request.relayed)
        return refuse_open(result.id, refusal_reason::outcome_unknown,
                           ran_state::unknown);
    const auto request = open->request;
    erase(result.id);
    relay(request, result.claimant);
}

void dispatcher::on_timer(request_id id)
{
    auto* open = find(id);
    if (open == nullptr)
        return;
    if (open->step == request_step::settling) {
        send_settlement(*open);
        return;
    }
    if (open->step == request_step::reserving) {
        if (context_.now - open->arrived_at < owner_reply_timeout)
            return reserve(*open);
        release_reservation(*open);
        return refuse_open(id, refusal_reason::owner_unavailable, ran_state::no,
                           default_retry_after_ms);
    }
    if (open->step != request_step::queued)
        return;
    const auto deadline = open->arrived_at + std::chrono::milliseconds(
                                                 open->latency.first_token_ms);
    if (context_.now < deadline) {
        context_.schedule(deadline - context_.now, request_timer{id});
        return;
    }
    refuse_failed(*open, ran_state::no);
}

void dispatcher::on_caller_disconnected(request_id id)
{
    auto* open = find(id);
    const bool may_end = open != nullptr && open->joined_count == 0 &&
                         open->attempt == 0 &&
                         open->step != request_step::claiming &&
                         open->step != request_step::settling;
    if (!may_end)
        return; // Runs to its end and is billed; a retry gets the answer.
    if (open->claimed)
        claims_.abandon(id);
    release_reservation(*open);
    erase(id);
}

void dispatcher::on_answer_dropped(request_id id)
{
    const auto found = finished_keys_by_id_.find(id);
    if (found == finished_keys_by_id_.end())
        return;
    finished_requests_.erase(found->second);
    finished_keys_by_id_.erase(found);
}

void dispatcher::on_members_changed()
{
    for (auto& [id, open] : open_requests_) {
        const bool has_reservation = !open.holder.empty() && !open.unbilled;
        if (!has_reservation || context_.members.is_live(open.holder))
            continue;
        context_.send(
            context_.owner_of(open.customer),
            running_notice{open.customer, open.holder, make_key_record(open)});
    }
}

std::vector<customer_records>
dispatcher::records_for_holder(const instance_id& holder) const
{
    std::map<customer_id, customer_records> found;
    for (const auto& [id, open] : open_requests_) {
        if (open.holder != holder || open.unbilled)
            continue;
        auto& entry = found[open.customer];
        entry.customer = open.customer;
        entry.by_holder = false;
        entry.records.push_back(open.step == request_step::settling
                                    ? open.final_record
                                    : make_key_record(open));
    }
    std::vector<customer_records> records;
    for (auto& [customer, entry] : found)
        records.push_back(std::move(entry));
    return records;
}

key_record dispatcher::make_key_record(const open_request& open) const
{
    key_record record;
    record.key = open.request.key;
    record.fingerprint = open.request.fingerprint;
    record.runner = context_.self();
    record.id = open.request.id;
    record.amount = open.amount;
    return record;
}

void dispatcher::refuse(request_id id, refusal_reason reason, ran_state ran,
                        std::int64_t retry_after_ms)
{
    context_.emit_action(refuse_request{id, reason, ran, retry_after_ms});
}

void dispatcher::refuse_open(request_id id, refusal_reason reason,
                             ran_state ran, std::int64_t retry_after_ms)
{
    const auto* open = find(id);
    if (open != nullptr)
        context_.record(timeline_kind::request_refused, open->customer,
                        open->request.key, std::string(name_of(reason)));
    erase(id);
    refuse(id, reason, ran, retry_after_ms);
}

void dispatcher::erase(request_id id)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end())
        return;
    auto& open = found->second;
    state_of(open.request.target).queue.erase(id);
    open_requests_by_key_.erase({open.customer, open.request.key});
    open_requests_.erase(found);
}

void dispatcher::remove_expired()
{
    const auto key_ttl = context_.options.key_ttl;
    std::erase_if(finished_requests_, [&](const auto& item) {
        const bool is_old = context_.now - item.second.finished_at > key_ttl;
        if (is_old)
            finished_keys_by_id_.erase(item.second.id);
        return is_old;
    });
}

} // namespace rosemarydeck
