/** @file fleet_simulation.cpp A few decision cores joined by a bag of messages.
 */
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

constexpr int thousand = 1000;
constexpr auto call_timeout = std::chrono::seconds(2);

error lost()
{
    return {error_code::unavailable, "platform call", "platform", "lost"};
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

void fleet_simulation::at(duration after, step what)
{
    steps_[{now_ + after, ++order_}] = std::move(what);
}

std::size_t fleet_simulation::add_vm(const std::string& name,
                                     const std::string& dc)
{
    bag_vm vm;
    vm.name = vm_id(name);
    vm.data_centre = dc_id(dc);
    auto chosen = options;
    chosen.self = {make_instance_id(vm.name, ++starts_),
                   vm.name,
                   vm.data_centre,
                   "127.0.0.1",
                   1,
                   2,
                   starts_};
    chosen.seed = random_();
    vm.instance = chosen.self.instance;
    vm.core = std::make_unique<decision_core>(chosen);
    vm.alive = true;
    vms_.push_back(std::move(vm));
    const auto number = vms_.size() - 1;
    put_object("fleet/vms/" + name,
               {{"vm", name}, {"data_centre", dc}, {"address", "127.0.0.1"}});
    for (std::size_t other = 0; other < number; ++other)
        if (vms_[other].alive)
            connect(other, number);
    give(number, clock_tick{});
    return number;
}

void fleet_simulation::connect(std::size_t left, std::size_t right)
{
    ++link_epoch_[{left, right}];
    ++link_epoch_[{right, left}];
    for (const auto& [one, other] :
         {std::pair(left, right), std::pair(right, left)}) {
        at(microseconds(500), [this, one = one, other = other] {
            if (vms_[one].alive && vms_[other].alive && linked(one, other))
                give(one, peer_connected{vms_[other].core->status().self});
        });
    }
}

bool fleet_simulation::linked(std::size_t left, std::size_t right) const
{
    return cut_.find({std::min(left, right), std::max(left, right)}) ==
           cut_.end();
}

void fleet_simulation::set_link(std::size_t left, std::size_t right, bool up)
{
    const std::pair key(std::min(left, right), std::max(left, right));
    const bool was_up = cut_.erase(key) == 0;
    if (!up) {
        cut_.insert(key);
        if (!was_up)
            return;
        ++link_epoch_[{left, right}];
        ++link_epoch_[{right, left}];
        give(left, peer_disconnected{vms_[right].instance});
        give(right, peer_disconnected{vms_[left].instance});
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
        if (linked(vm, other))
            at(milliseconds(1), [this, other, vm] {
                give(other, peer_disconnected{vms_[vm].instance});
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
    for (auto& event : std::exchange(vms_[vm].held, {}))
        give(vm, std::move(event));
    give(vm, clock_tick{});
}

void fleet_simulation::drain(std::size_t vm)
{
    give(vm, drain_self{});
}

void fleet_simulation::unlist(std::size_t vm)
{
    const auto name = "fleet/vms/" + vms_[vm].name.value();
    const auto found = store_.apply(get_object{name});
    if (found)
        store_.apply(delete_object{name, found->objects.front().version});
    wake_watches();
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
    wake_watches();
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
    request.id = request_id(++next_request_);
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
    const auto place = callers_.size() - 1;
    give(vm, request);
    return place;
}

caller_record* fleet_simulation::caller_of(std::size_t vm, request_id id)
{
    const auto found = caller_index_.find({vm, id});
    return found == caller_index_.end() ? nullptr : &callers_[found->second];
}

void fleet_simulation::give(std::size_t vm, core_event event)
{
    auto& target = vms_[vm];
    if (!target.alive)
        return;
    if (target.paused) {
        target.held.push_back(std::move(event));
        return;
    }
    for (const auto& action : target.core->handle(event, now_))
        act(vm, action);
    plan_wake(vm);
}

void fleet_simulation::plan_wake(std::size_t vm)
{
    const auto next = vms_[vm].core->next_wake_time();
    auto& planned = vms_[vm].woken;
    if (next == time_point::max() || (planned > now_ && planned <= next))
        return;
    planned = std::max(next, now_ + microseconds(1));
    at(planned - now_, [this, vm] { give(vm, clock_tick{}); });
}

void fleet_simulation::act(std::size_t vm, const core_action& action)
{
    std::visit(
        overload{
            [&](const send_peer& one) { deliver(vm, one); },
            [&](const call_platform& one) { call(vm, one); },
            [&](const dispatch_attempt& one) { dispatch(vm, one); },
            [&](const finish_request& one) {
                if (auto* caller = caller_of(vm, one.id)) {
                    caller->finished = now_;
                    const auto& here = vms_[vm];
                    caller->alone =
                        here.core->members().live_in(here.data_centre).size() ==
                        1;
                }
            },
            [&](const refuse_request& one) {
                if (auto* caller = caller_of(vm, one.id))
                    caller->refused = one;
            },
            [&](const join_request& one) {
                if (auto* caller = caller_of(vm, one.id))
                    caller->joined = one.original;
            },
            [&](const relay_request& one) {
                if (auto* caller = caller_of(vm, one.id))
                    caller->relayed = true;
                (void)one;
            },
            [&](const record_event& one) { events_.push_back(one.event); },
            [&](const drained&) { vms_[vm].drained = true; },
            [](const auto&) {}},
        action);
}

void fleet_simulation::deliver(std::size_t from, const send_peer& action)
{
    for (std::size_t to = 0; to < vms_.size(); ++to) {
        if (vms_[to].instance != action.to || !vms_[to].alive ||
            !linked(from, to))
            continue;
        const auto epoch = link_epoch_[{from, to}];
        auto& last = last_delivery_[{from, to}];
        last = std::max(last + microseconds(1),
                        now_ + microseconds(200 + random(2000)));
        at(last - now_, [this, from, to, epoch, message = action.message] {
            // A connection that was lost takes its messages with it.
            if (linked(from, to) && link_epoch_[{from, to}] == epoch)
                give(to, peer_received{vms_[from].instance, message});
        });
    }
}

void fleet_simulation::call(std::size_t vm, const call_platform& action)
{
    const auto delay = microseconds(1000 + random(4000));
    if (platform_down || vms_[vm].platform_cut) {
        at(call_timeout, [this, vm, call = action.call] {
            answer(vm, call, tl::unexpected(lost()));
        });
        return;
    }
    at(delay, [this, vm, action] { apply(vm, action); });
}

void fleet_simulation::apply(std::size_t vm, const call_platform& action)
{
    const bool reads = std::holds_alternative<get_object>(action.request) ||
                       std::holds_alternative<list_objects>(action.request);
    if (const auto* watch = std::get_if<watch_objects>(&action.request)) {
        ++reads_;
        watches_.push_back({vm, action.call, *watch, now_ + watch->wait});
        at(watch->wait, [this] { wake_watches(); });
        wake_watches();
        return;
    }
    ++(reads ? reads_ : writes_);
    const auto draw = static_cast<int>(random(thousand));
    const auto lose = [&] {
        at(call_timeout, [this, vm, call = action.call] {
            answer(vm, call, tl::unexpected(lost()));
        });
    };
    if (draw < faults.lost_request)
        return lose();
    if (draw < faults.lost_request + faults.late_write) {
        at(call_timeout + milliseconds(random(3000)),
           [this, request = action.request] {
               store_.apply(request);
               wake_watches();
           });
        return lose();
    }
    const auto result = store_.apply(action.request);
    wake_watches();
    if (draw < faults.lost_request + faults.late_write + faults.lost_answer)
        return lose();
    at(microseconds(500),
       [this, vm, call = action.call, result] { answer(vm, call, result); });
}

void fleet_simulation::answer(std::size_t vm, call_id call,
                              platform_result result)
{
    give(vm, platform_answered{call, std::move(result)});
}

void fleet_simulation::wake_watches()
{
    std::vector<waiting_watch> waiting;
    for (auto& watch : std::exchange(watches_, {})) {
        const auto cut = platform_down || vms_[watch.vm].platform_cut;
        auto result = store_.apply(watch.request);
        const bool news = result && !result->objects.empty();
        if (cut && now_ >= watch.until)
            result = tl::unexpected(lost());
        else if (cut || (!news && now_ < watch.until)) {
            waiting.push_back(std::move(watch));
            continue;
        }
        at(microseconds(500),
           [this, watch, result] { answer(watch.vm, watch.call, result); });
    }
    for (auto& watch : waiting)
        watches_.push_back(std::move(watch));
}

void fleet_simulation::dispatch(std::size_t vm, const dispatch_attempt& action)
{
    const auto request = requests_.at({vm, action.id});
    const customer_key key{customer_id(request.api_key.substr(4)), request.key};
    ++runs_[key].begun;
    if (auto* caller = caller_of(vm, action.id))
        caller->dispatched = true;
    const bool crashes = static_cast<int>(random(thousand)) < crash_chance;
    const auto took =
        service_time / 2 +
        duration(random(static_cast<std::uint64_t>(service_time.count())));
    at(took / 4, [this, vm, action] {
        give(vm, attempt_first_token{action.id, action.attempt});
    });
    const token_usage usage{
        30, static_cast<token_count>(
                1 + random(static_cast<std::uint64_t>(request.max_output)))};
    at(took, [this, vm, action, crashes, usage, key] {
        if (crashes) {
            give(vm, attempt_failed{action.id, action.attempt,
                                    attempt_failure::broken, 0});
            return;
        }
        ++runs_[key].finished;
        give(vm, attempt_finished{action.id, action.attempt, usage});
    });
}

void fleet_simulation::run_for(duration span)
{
    const auto until = now_ + span;
    while (!steps_.empty() && steps_.begin()->first.first <= until) {
        auto first = steps_.begin();
        now_ = std::max(now_, first->first.first);
        const auto what = std::move(first->second);
        steps_.erase(first);
        what();
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
