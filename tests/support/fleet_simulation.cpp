/** @file fleet_simulation.cpp Simulation of a fleet of decision cores. */
#include "fleet_simulation.hpp"

#include "common/hash_func.hpp"
#include "common/overload_func.hpp"
#include "member/instance_id_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck::simulation
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int per_mille_total = 1000;
constexpr auto platform_call_timeout = std::chrono::seconds(2);

error lost_call_error()
{
    return {error_code::unavailable, "platform call", "platform",
            "answer lost"};
}

} // namespace

fleet_simulation::fleet_simulation(std::uint64_t seed)
    : random_(seed), now_(std::chrono::hours(500'000))
{
    options.suspect_timeout = milliseconds(1500);
}

std::uint64_t fleet_simulation::random(std::uint64_t limit)
{
    return limit == 0 ? 0 : random_() % limit;
}

void fleet_simulation::run_after(duration after, task next_task)
{
    tasks_[{now_ + after, ++last_task_number_}] = std::move(next_task);
}

std::size_t fleet_simulation::add_vm(const std::string& name,
                                     const std::string& dc)
{
    simulated_vm vm;
    vm.name = vm_id(name);
    vm.data_centre = dc_id(dc);
    auto vm_options = options;
    vm_options.self = {make_instance_id(vm.name, ++vm_start_count_),
                       vm.name,
                       vm.data_centre,
                       "127.0.0.1",
                       1,
                       2,
                       vm_start_count_};
    vm_options.seed = random_();
    vm.instance = vm_options.self.instance;
    vm.core = std::make_unique<decision_core>(vm_options);
    vm.alive = true;
    vms_.push_back(std::move(vm));
    const auto number = vms_.size() - 1;
    put_object("fleet/vms/" + name,
               {{"vm", name}, {"data_centre", dc}, {"address", "127.0.0.1"}});
    for (std::size_t other = 0; other < number; ++other)
        if (vms_[other].alive)
            connect(other, number);
    deliver_event(number, clock_tick{});
    return number;
}

void fleet_simulation::connect(std::size_t left, std::size_t right)
{
    ++link_epoch_[{left, right}];
    ++link_epoch_[{right, left}];
    for (const auto& [one, other] :
         {std::pair(left, right), std::pair(right, left)}) {
        run_after(microseconds(500), [this, one = one, other = other] {
            if (vms_[one].alive && vms_[other].alive && is_linked(one, other))
                deliver_event(one,
                              peer_connected{vms_[other].core->status().self});
        });
    }
}

bool fleet_simulation::is_linked(std::size_t left, std::size_t right) const
{
    return cut_links_.find({std::min(left, right), std::max(left, right)}) ==
           cut_links_.end();
}

void fleet_simulation::set_link(std::size_t left, std::size_t right, bool up)
{
    const std::pair key(std::min(left, right), std::max(left, right));
    const bool was_up = cut_links_.erase(key) == 0;
    if (!up) {
        cut_links_.insert(key);
        if (!was_up)
            return;
        ++link_epoch_[{left, right}];
        ++link_epoch_[{right, left}];
        deliver_event(left, peer_disconnected{vms_[right].instance});
        deliver_event(right, peer_disconnected{vms_[left].instance});
    }
    else if (!was_up && vms_[left].alive && vms_[right].alive)
        connect(left, right);
}

void fleet_simulation::kill(std::size_t vm)
{
    if (!vms_[vm].alive)
        return;
    vms_[vm].alive = false;
    for (std::size_t other = 0; other < vms_.size(); ++other) {
        if (other == vm || !vms_[other].alive)
            continue;
        ++link_epoch_[{vm, other}];
        if (is_linked(vm, other))
            run_after(milliseconds(1), [this, other, vm] {
                deliver_event(other, peer_disconnected{vms_[vm].instance});
            });
    }
}

void fleet_simulation::pause(std::size_t vm)
{
    vms_[vm].paused = true;
}

void fleet_simulation::resume(std::size_t vm)
{
    vms_[vm].paused = false;
    for (auto& event : std::exchange(vms_[vm].held_events, {}))
        deliver_event(vm, std::move(event));
    deliver_event(vm, clock_tick{});
}

void fleet_simulation::drain(std::size_t vm)
{
    deliver_event(vm, drain_self{});
}

void fleet_simulation::unlist(std::size_t vm)
{
    const auto name = "fleet/vms/" + vms_[vm].name.value();
    const auto found = store_.apply(get_object{name});
    if (found)
        store_.apply(delete_object{name, found->objects.front().version});
    answer_watches();
}

void fleet_simulation::put_object(const std::string& name,
                                  const nlohmann::json& value)
{
    const auto found = store_.apply(get_object{name});
    if (found)
        store_.apply(
            update_object{name, found->objects.front().version, value.dump()});
    else
        store_.apply(create_object{name, value.dump()});
    answer_watches();
}

void fleet_simulation::add_customer(const std::string& name,
                                    token_count prepaid)
{
    put_object("fleet/plans/" + name, {{"customer", name},
                                       {"prepaid", prepaid},
                                       {"api_keys", {"key-" + name}}});
    put_object("fleet/allowances/" + name,
               {{"customer", name},
                {"targets", {"chat", "orders"}},
                {"priorities", {"urgent", "standard", "bulk"}},
                {"max_concurrent", 100000},
                {"requests_per_minute", 10000000},
                {"max_tokens", 1000000}});
}

void fleet_simulation::top_up(const std::string& name, token_count by)
{
    const auto path = "fleet/plans/" + name;
    const auto found = store_.apply(get_object{path});
    auto json = nlohmann::json::parse(found->objects.front().value);
    json["prepaid"] = json["prepaid"].get<token_count>() + by;
    put_object(path, json);
}

void fleet_simulation::add_server(const std::string& name,
                                  const std::string& dc, std::int64_t slots,
                                  const std::string& target, server_kind kind)
{
    put_object("fleet/servers/" + name, {{"server", name},
                                         {"data_centre", dc},
                                         {"address", "127.0.0.1"},
                                         {"port", 9},
                                         {"slots", slots},
                                         {"kind", kind},
                                         {"targets", {target}}});
}

std::size_t fleet_simulation::submit(std::size_t vm,
                                     const std::string& customer,
                                     const std::string& key, token_count output,
                                     bool repeatable, bool relayed,
                                     std::uint64_t fingerprint)
{
    caller_request request;
    request.id = request_id(++last_request_);
    request.api_key = "key-" + customer;
    request.key = idempotency_key(key);
    request.fingerprint = fingerprint == 0 ? stable_hash(key) : fingerprint;
    request.target = target_id(repeatable ? "chat" : "orders");
    request.kind = repeatable ? server_kind::engine : server_kind::service;
    request.repeatable = repeatable;
    request.relayed = relayed;
    request.max_prompt_tokens = 50;
    request.max_output = output;
    caller_record caller;
    caller.customer = customer_id(customer);
    caller.key = request.key;
    caller.vm = vm;
    caller.sent = now_;
    caller.relayed = relayed;
    callers_.push_back(caller);
    caller_index_[{vm, request.id}] = callers_.size() - 1;
    requests_[{vm, request.id}] = request;
    const auto index = callers_.size() - 1;
    deliver_event(vm, request);
    return index;
}

caller_record* fleet_simulation::find_caller(std::size_t vm, request_id id)
{
    const auto found = caller_index_.find({vm, id});
    return found == caller_index_.end() ? nullptr : &callers_[found->second];
}

void fleet_simulation::deliver_event(std::size_t vm, core_event event)
{
    auto& target = vms_[vm];
    if (!target.alive)
        return;
    if (target.paused) {
        target.held_events.push_back(std::move(event));
        return;
    }
    for (const auto& action : target.core->handle(event, now_))
        perform_action(vm, action);
    schedule_wakeup(vm);
}

void fleet_simulation::schedule_wakeup(std::size_t vm)
{
    const auto next = vms_[vm].core->next_wake_time();
    auto& tick_at = vms_[vm].next_tick_at;
    if (next == time_point::max() || (tick_at > now_ && tick_at <= next))
        return;
    tick_at = std::max(next, now_ + microseconds(1));
    run_after(tick_at - now_, [this, vm] { deliver_event(vm, clock_tick{}); });
}

void fleet_simulation::perform_action(std::size_t vm, const core_action& action)
{
    std::visit(
        overload{
            [&](const send_peer& one) { send_peer_message(vm, one); },
            [&](const call_platform& one) { start_platform_call(vm, one); },
            [&](const dispatch_attempt& one) { run_attempt(vm, one); },
            [&](const finish_request& one) {
                if (auto* caller = find_caller(vm, one.id)) {
                    caller->finished = now_;
                    const auto& here = vms_[vm];
                    caller->finished_alone =
                        here.core->members().live_in(here.data_centre).size() ==
                        1;
                }
            },
            [&](const refuse_request& one) {
                if (auto* caller = find_caller(vm, one.id))
                    caller->refused = one;
            },
            [&](const join_request& one) {
                if (auto* caller = find_caller(vm, one.id))
                    caller->joined = one.original;
            },
            [&](const relay_request& one) {
                if (auto* caller = find_caller(vm, one.id))
                    caller->relayed = true;
                (void)one;
            },
            [&](const record_event& one) { events_.push_back(one.event); },
            [&](const drained&) { vms_[vm].drained = true; },
            [](const auto&) {}},
        action);
}

void fleet_simulation::send_peer_message(std::size_t from,
                                         const send_peer& action)
{
    for (std::size_t to = 0; to < vms_.size(); ++to) {
        if (vms_[to].instance != action.to || !vms_[to].alive ||
            !is_linked(from, to))
            continue;
        const auto epoch = link_epoch_[{from, to}];
        auto& last = last_delivery_[{from, to}];
        last = std::max(last + microseconds(1),
                        now_ + microseconds(200 + random(2000)));
        run_after(last - now_, [this, from, to, epoch,
                                message = action.message] {
            // Messages in flight are lost with their connection.
            if (is_linked(from, to) && link_epoch_[{from, to}] == epoch)
                deliver_event(to, peer_received{vms_[from].instance, message});
        });
    }
}

void fleet_simulation::start_platform_call(std::size_t vm,
                                           const call_platform& action)
{
    const auto delay = microseconds(1000 + random(4000));
    if (platform_down || vms_[vm].platform_cut) {
        run_after(platform_call_timeout, [this, vm, call = action.call] {
            answer_platform_call(vm, call, tl::unexpected(lost_call_error()));
        });
        return;
    }
    run_after(delay, [this, vm, action] { execute_platform_call(vm, action); });
}

void fleet_simulation::execute_platform_call(std::size_t vm,
                                             const call_platform& action)
{
    const bool reads = std::holds_alternative<get_object>(action.request) ||
                       std::holds_alternative<list_objects>(action.request);
    if (const auto* watch = std::get_if<watch_objects>(&action.request)) {
        ++platform_reads_;
        watches_.push_back({vm, action.call, *watch, now_ + watch->wait});
        run_after(watch->wait, [this] { answer_watches(); });
        answer_watches();
        return;
    }
    ++(reads ? platform_reads_ : platform_writes_);
    const auto random_per_mille = static_cast<int>(random(per_mille_total));
    const auto lose_answer = [&] {
        run_after(platform_call_timeout, [this, vm, call = action.call] {
            answer_platform_call(vm, call, tl::unexpected(lost_call_error()));
        });
    };
    if (random_per_mille < faults.lost_request)
        return lose_answer();
    if (random_per_mille < faults.lost_request + faults.late_write) {
        run_after(platform_call_timeout + milliseconds(random(3000)),
                  [this, request = action.request] {
                      store_.apply(request);
                      answer_watches();
                  });
        return lose_answer();
    }
    const auto result = store_.apply(action.request);
    answer_watches();
    if (random_per_mille <
        faults.lost_request + faults.late_write + faults.lost_answer)
        return lose_answer();
    run_after(microseconds(500), [this, vm, call = action.call, result] {
        answer_platform_call(vm, call, result);
    });
}

void fleet_simulation::answer_platform_call(std::size_t vm, call_id call,
                                            platform_result result)
{
    deliver_event(vm, platform_answered{call, std::move(result)});
}

void fleet_simulation::answer_watches()
{
    std::vector<waiting_watch> waiting;
    for (auto& watch : std::exchange(watches_, {})) {
        const auto is_cut = platform_down || vms_[watch.vm].platform_cut;
        auto result = store_.apply(watch.request);
        const bool has_objects = result && !result->objects.empty();
        if (is_cut && now_ >= watch.until)
            result = tl::unexpected(lost_call_error());
        else if (is_cut || (!has_objects && now_ < watch.until)) {
            waiting.push_back(std::move(watch));
            continue;
        }
        run_after(microseconds(500), [this, watch, result] {
            answer_platform_call(watch.vm, watch.call, result);
        });
    }
    for (auto& watch : waiting)
        watches_.push_back(std::move(watch));
}

void fleet_simulation::run_attempt(std::size_t vm,
                                   const dispatch_attempt& action)
{
    const auto request = requests_.at({vm, action.id});
    const customer_key key{customer_id(request.api_key.substr(4)), request.key};
    ++runs_[key].started;
    if (auto* caller = find_caller(vm, action.id))
        caller->dispatched = true;
    const bool crashes =
        static_cast<int>(random(per_mille_total)) < attempt_crashes_per_mille;
    const auto run_time =
        service_time / 2 +
        duration(random(static_cast<std::uint64_t>(service_time.count())));
    run_after(run_time / 4, [this, vm, action] {
        deliver_event(vm, attempt_first_token{action.id, action.attempt});
    });
    const token_usage usage{
        30, static_cast<token_count>(
                1 + random(static_cast<std::uint64_t>(request.max_output)))};
    run_after(run_time, [this, vm, action, crashes, usage, key] {
        if (crashes) {
            deliver_event(vm, attempt_failed{action.id, action.attempt,
                                             attempt_failure::broken, 0});
            return;
        }
        ++runs_[key].finished;
        deliver_event(vm, attempt_finished{action.id, action.attempt, usage});
    });
}

void fleet_simulation::run_for(duration span)
{
    const auto until = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first.first <= until) {
        auto first = tasks_.begin();
        now_ = std::max(now_, first->first.first);
        const auto next_task = std::move(first->second);
        tasks_.erase(first);
        next_task();
    }
    now_ = until;
}

account fleet_simulation::account_of(const std::string& customer)
{
    const auto found = store_.apply(get_object{accounts_prefix + customer});
    if (!found)
        return {};
    return *parse_account(found->objects.front().value);
}

std::vector<bill> fleet_simulation::bills()
{
    std::vector<bill> all;
    const auto found = store_.apply(list_objects{bill_object_prefix});
    for (const auto& object : found->objects) {
        const auto batch = parse_bill_batch(object.value);
        all.insert(all.end(), batch.bills.begin(), batch.bills.end());
    }
    return all;
}

std::vector<std::string>
fleet_simulation::batches_with(const idempotency_key& key)
{
    std::vector<std::string> names;
    const auto found = store_.apply(list_objects{bill_object_prefix});
    for (const auto& object : found->objects)
        for (const auto& each : parse_bill_batch(object.value).bills)
            if (each.key == key)
                names.push_back(object.name);
    return names;
}

} // namespace rosemarydeck::simulation
