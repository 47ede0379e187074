/** @file router_test.cpp Tests of route lookup, engine choice and retries. */
#include "router/crash_record_base.hpp"
#include "router/engine_directory_base.hpp"
#include "router/engine_selector_base.hpp"
#include "router/fleet_presence_base.hpp"
#include "router/request_type.hpp"
#include "router/retry_budget_base.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

const service_id models("models");

time_point at(milliseconds time)
{
    return time_point(time);
}

engine_info engine(const std::string& name, bool draining = false)
{
    engine_info made;
    made.id = server_id(name);
    made.service = models;
    made.address = "10.0.0.1";
    made.port = 80;
    made.slots = 4;
    made.draining = draining;
    return made;
}

std::vector<engine_info> engines(int count)
{
    std::vector<engine_info> made;
    for (int number = 0; number < count; ++number)
        made.push_back(engine("e" + std::to_string(number)));
    return made;
}

placement_request prompt(const std::string& home, token_count shared = 6'000)
{
    placement_request made;
    made.service = models;
    made.shared_prefix_id = home;
    made.shared = shared;
    made.input = shared + 2'000;
    made.output = 100;
    return made;
}

route_rule route(const std::string& host, const std::string& prefix)
{
    route_rule made;
    made.host = host;
    made.prefix = prefix;
    made.name = host + prefix;
    return made;
}

std::size_t usable_count(const engine_directory& directory)
{
    const auto all = directory.usable();
    const auto found = all.find(models);
    return found == all.end() ? 0 : found->second.size();
}

} // namespace

TEST_CASE("The longest prefix of the host selects the route", "[routes]")
{
    router_config config;
    config.routes = {route("a", "/x/"), route("a", "/x/y/"), route("b", "/"),
                     route("a", "/z/")};
    const config_index index(config);
    CHECK(index.route("a", "/x/y/1")->name == "a/x/y/");
    CHECK(index.route("a", "/x/yz")->name == "a/x/");
    CHECK(index.route("a", "/x/?q=/x/y/")->name == "a/x/");
    CHECK(index.route("b", "/anything")->name == "b/");
    CHECK(index.route("a", "/x") == nullptr);
    CHECK(index.route("c", "/x/") == nullptr);
}

TEST_CASE("Customers are found by API key and services by id", "[routes]")
{
    router_config config;
    config.customers = {{customer_id("acme"), {"k1", "k2"}, {}, {}}};
    config.services = {{models, 7, {}}};
    const config_index index(config);
    CHECK(index.customer_of("k2")->id == customer_id("acme"));
    CHECK(index.customer_of("k3") == nullptr);
    CHECK(index.service(models)->max_connections == 7);
    CHECK(index.service(service_id("none")) == nullptr);
}

TEST_CASE("Draining and erased engines are not usable", "[directory]")
{
    engine_directory directory;
    directory.replace(engines(3), at(0ms));
    CHECK(usable_count(directory) == 3);
    directory.put(engine("e0", true));
    CHECK(usable_count(directory) == 2);
    directory.erase(server_id("e1"), at(1ms));
    CHECK(usable_count(directory) == 1);
    directory.replace(engines(1), at(2ms));
    CHECK(directory.usable()[models].front().id == server_id("e0"));
}

TEST_CASE("Entries that lapse in an outage are kept for a grace period",
          "[directory]")
{
    engine_directory directory({.reregistration_grace_period = 1'800ms});
    directory.replace(engines(2), at(0ms));
    directory.record_outage_end(at(10s));
    directory.replace({}, at(10s));
    CHECK(usable_count(directory) == 2);
    directory.put(engine("e1"));
    CHECK_FALSE(directory.expire(at(11s)));
    CHECK(directory.expire(at(11'800ms)));
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("A draining engine has no grace period after an outage",
          "[directory]")
{
    engine_directory directory;
    directory.replace({engine("e0", true)}, at(0ms));
    directory.record_outage_end(at(10s));
    directory.erase(server_id("e0"), at(10s));
    CHECK(directory.size() == 0);
}

TEST_CASE("All VMs choose the same home for a prompt", "[placement]")
{
    const auto all = engines(12);
    for (int number = 0; number < 50; ++number) {
        engine_selector one;
        engine_selector other;
        other.place(prompt("elsewhere", 10), all, {}, at(0ms));
        const auto request = prompt("part" + std::to_string(number));
        CHECK(one.place(request, all, {}, at(0ms))->engine.id ==
              other.place(request, all, {}, at(0ms))->engine.id);
    }
}

TEST_CASE("When the home is overloaded the prompt is fetched from it",
          "[placement]")
{
    const auto all = engines(4);
    engine_selector selector;
    const auto home =
        selector.place(prompt("hot"), all, {}, at(0ms))->engine.id;
    std::optional<placement> elsewhere;
    for (int number = 0; number < 20 && !elsewhere; ++number) {
        const auto placed = selector.place(prompt("hot"), all, {}, at(0ms));
        if (placed->engine.id != home)
            elsewhere = placed;
    }
    REQUIRE(elsewhere);
    REQUIRE(elsewhere->fetch_from);
    CHECK(elsewhere->fetch_from->id == home);
}

TEST_CASE("Few shared tokens are computed again rather than fetched",
          "[placement]")
{
    const auto all = engines(4);
    engine_selector selector;
    for (int number = 0; number < 20; ++number)
        CHECK_FALSE(
            selector.place(prompt("small", 170), all, {}, at(0ms))->fetch_from);
}

TEST_CASE("A request without a home goes to the least loaded engine",
          "[placement]")
{
    const auto all = engines(6);
    engine_selector selector;
    for (int number = 0; number < 12; ++number)
        selector.place({models, "", 0, 0, 0}, all, {}, at(0ms));
    for (const auto& one : all)
        CHECK(selector.open_at(one.id) == 2);
}

TEST_CASE("The back-off of an engine grows with each failure", "[placement]")
{
    const auto all = engines(2);
    engine_selector selector;
    const placement_request request{models, "", 0, 0, 0};
    const auto fail = [&](time_point now) {
        selector.place(request, std::span(all).first(1), {}, now);
        selector.release(all[0].id, request, send_outcome::broken, now);
    };
    const auto used = [&](time_point now) {
        const auto placed = selector.place(request, all, {}, now);
        selector.release(placed->engine.id, request, send_outcome::abandoned,
                         now);
        return placed->engine.id == all[0].id;
    };
    fail(at(0ms));
    CHECK_FALSE(used(at(100ms)));
    fail(at(300ms));
    CHECK_FALSE(used(at(700ms)));
    CHECK_FALSE(used(at(790ms)));
}

TEST_CASE("No engine of an unreachable data centre is chosen", "[placement]")
{
    auto all = engines(8);
    for (std::size_t number = 0; number < all.size(); ++number)
        all[number].data_centre = dc_id(number < 4 ? "near" : "far");
    engine_selector selector;
    const placement_request request{models, "", 0, 0, 0};
    // Two engines of the far data centre can't be reached.
    for (const std::size_t number : {4U, 5U}) {
        selector.place(request, std::span(all).subspan(number, 1), {}, at(0ms));
        selector.release(all[number].id, request, send_outcome::unreachable,
                         at(0ms));
    }
    for (int number = 0; number < 16; ++number)
        CHECK(selector.place(request, all, {}, at(500ms))->engine.data_centre ==
              dc_id("near"));
    // After the cool-down one answer makes it reachable again.
    selector.place(request, std::span(all).subspan(6, 1), {}, at(1'200ms));
    selector.release(all[6].id, request, send_outcome::served, at(1'200ms));
    CHECK(selector.place(request, all, {}, at(1'201ms))->engine.data_centre ==
          dc_id("far"));
}

TEST_CASE("A failed engine is used when there is no other", "[placement]")
{
    const auto all = engines(1);
    engine_selector selector;
    const placement_request request{models, "", 0, 0, 0};
    selector.place(request, all, {}, at(0ms));
    selector.release(all[0].id, request, send_outcome::broken, at(0ms));
    CHECK(selector.place(request, all, {}, at(1ms)));
    CHECK_FALSE(selector.place(request, all, {all[0].id}, at(1ms)));
}

TEST_CASE("A leaving engine gets no requests, also if it is the only one",
          "[placement]")
{
    engine_selector chooser;
    const auto all = engines(2);
    chooser.record_leaving(all[0], at(0s));
    for (int number = 0; number < 20; ++number)
        CHECK(chooser.place(prompt(std::to_string(number)), all, {}, at(1s))
                  ->engine.id == all[1].id);
    CHECK_FALSE(chooser.place(prompt("a"), all, {all[1].id}, at(1s)));
    CHECK_FALSE(chooser.place(prompt("a"), engines(1), {}, at(500s)));
    // The list of engines may drop it for a while and name it again.
    chooser.drop_unlisted({}, at(2s));
    CHECK_FALSE(chooser.place(prompt("a"), engines(1), {}, at(3s)));
}

TEST_CASE("An engine that left and started again gets requests", "[placement]")
{
    engine_selector chooser;
    auto all = engines(1);
    chooser.record_leaving(all[0], at(0s));
    all[0].started_at_ms = 7;
    CHECK(chooser.place(prompt("a"), all, {}, at(1s)));
}

TEST_CASE("An engine that asked for rest gets no requests until its end",
          "[placement]")
{
    engine_selector chooser;
    const auto all = engines(2);
    CHECK_FALSE(chooser.rest_end(all, at(0s)));
    chooser.record_rest(all[0].id, at(4s));
    for (int number = 0; number < 20; ++number)
        CHECK(chooser.place(prompt(std::to_string(number)), all, {}, at(1s))
                  ->engine.id == all[1].id);
    CHECK_FALSE(chooser.rest_end(all, at(1s)));
    chooser.record_rest(all[1].id, at(3s));
    // A shorter rest asked for later doesn't end the first.
    chooser.record_rest(all[0].id, at(2s));
    CHECK_FALSE(chooser.place(prompt("a"), all, {}, at(1s)));
    CHECK(chooser.rest_end(all, at(1s)) == at(3s));
    CHECK(chooser.place(prompt("a"), all, {}, at(3s))->engine.id == all[1].id);
    CHECK(chooser.place(prompt("a"), all, {all[1].id}, at(4s)));
    chooser.record_leaving(all[1], at(4s));
    chooser.record_rest(all[0].id, at(9s));
    CHECK(chooser.rest_end(all, at(5s)) == at(9s));
}

TEST_CASE("The retries of all VMs stay within the fleet's budget", "[retry]")
{
    CHECK(rc::check("retry budget", [] {
        const retry_budget_options options{0.2, 56, 10s};
        const auto vms = *rc::gen::inRange<std::uint32_t>(1, 12);
        std::vector<retry_budget> budgets(vms, retry_budget(options));
        std::deque<time_point> requests;
        std::deque<time_point> retries;
        auto now = at(0ms);
        for (int step = 0; step < 600; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 90));
            auto& one = budgets[*rc::gen::inRange<std::size_t>(0, vms)];
            if (*rc::gen::inRange(0, 3) == 0) {
                one.record_request(models, now);
                requests.push_back(now);
            }
            else if (one.try_acquire_retry(models, vms, now)) {
                retries.push_back(now);
            }
            const auto recent = [&](const auto& times) {
                return static_cast<double>(
                    std::count_if(times.begin(), times.end(),
                                  [&](auto time) { return time + 10s > now; }));
            };
            RC_ASSERT(recent(retries) <= 0.2 * recent(requests) + 56 + 1);
        }
    }));
}

TEST_CASE("A request is blocked after it crashed three engines in the fleet",
          "[crash]")
{
    crash_record record;
    const auto bad = fingerprint_of("POST", "/a/1", "acme", "boom");
    const auto other = fingerprint_of("POST", "/a/1", "acme", "fine");
    CHECK(bad != other);
    CHECK(bad == fingerprint_of("POST", "/a/1", "acme", "boom"));
    record.record_crash(bad, server_id("e1"), at(0ms));
    record.record_crash(bad, server_id("e2"), at(100ms));
    record.record_crash(other, server_id("e1"), at(0ms));
    CHECK(record.blocked(at(1s)).empty());
    // VM b saw one of the same crashes; VM c saw that of a third engine.
    record.replace_peer_crashes(vm_id("b"), {{bad, {server_id("e2")}}},
                                at(0ms));
    CHECK(record.blocked(at(1s)).empty());
    record.replace_peer_crashes(
        vm_id("c"), {{bad, {server_id("e3")}}, {other, {server_id("e2")}}},
        at(0ms));
    CHECK(record.blocked(at(1s)) == std::set<request_fingerprint>{bad});
    CHECK(record.blocked(at(70s)).empty());
}

TEST_CASE("A request that ran beside a crashing one is cleared when served",
          "[crash]")
{
    crash_record record;
    const auto harmless = fingerprint_of("GET", "/a/1", "acme", "");
    record.record_crash(harmless, server_id("e1"), at(0ms));
    record.record_crash(harmless, server_id("e2"), at(0ms));
    record.clear(harmless);
    record.record_crash(harmless, server_id("e3"), at(1s));
    CHECK(record.blocked(at(1s)).empty());
    CHECK(record.own(at(1s)).at(harmless).size() == 1);
}

TEST_CASE("Only shared parts count as a prompt's shared prefix", "[request]")
{
    request_head head;
    CHECK(head.shared_prefix().empty());
    head.prompt = {{"own", 50}};
    CHECK(head.shared_prefix().empty());
    CHECK(head.shared_tokens() == 0);
    head.prompt = {{"all", 100}, {"session", 30}, {"own", 50}};
    CHECK(head.shared_prefix() == "session");
    CHECK(head.shared_tokens() == 130);
}

TEST_CASE("The crash report of a VM expires when the VM has ended", "[crash]")
{
    crash_record record;
    const auto bad = fingerprint_of("GET", "/a/1", "acme", "boom");
    const std::set<server_id> engines{server_id("e1"), server_id("e2"),
                                      server_id("e3")};
    record.replace_peer_crashes(vm_id("b"), {{bad, engines}}, at(0ms));
    CHECK(record.blocked(at(59s)).count(bad) == 1);
    CHECK(record.blocked(at(60s)).empty());
    record.replace_peer_crashes(vm_id("b"), {{bad, engines}}, at(70s));
    CHECK(record.blocked(at(71s)).count(bad) == 1);
    record.replace_peer_crashes(vm_id("b"), {}, at(72s));
    CHECK(record.blocked(at(73s)).empty());
}

TEST_CASE("A VM is live until its entry has been unchanged for the timeout",
          "[presence]")
{
    fleet_presence fleet({.self = vm_id("a"), .liveness_timeout = 25s});
    CHECK(fleet.live_vms(at(0ms)) == 0);
    const vm_presence first{.run = instance_id("b.1"), .beat = 4};
    fleet.update({{vm_id("b"), first}}, at(0ms));
    CHECK(fleet.live_vms(at(25s)) == 2);
    fleet.update({{vm_id("b"), first}}, at(25s));
    CHECK(fleet.live_vms(at(26s)) == 1);
    // A new instance of the VM may write the same beat as the one before.
    fleet.update({{vm_id("b"), {.run = instance_id("b.2"), .beat = 4}}},
                 at(27s));
    CHECK(fleet.live_vms(at(28s)) == 2);
    CHECK(fleet.live(at(28s)).at(vm_id("b")).run == instance_id("b.2"));
    CHECK(fleet.live(at(60s)).empty());
    CHECK(fleet.removable(at(147s)).empty());
    CHECK(fleet.removable(at(148s)) == std::vector<vm_id>{vm_id("b")});
    fleet.update({}, at(148s));
    CHECK(fleet.removable(at(300s)).empty());
    // The VM itself counts even if its own entry is missing or old.
    fleet.update({{vm_id("a"), {.run = instance_id("a.1"), .beat = 1}}},
                 at(0ms));
    CHECK(fleet.live_vms(at(300s)) == 1);
    CHECK(fleet.removable(at(300s)).empty());
}

TEST_CASE("Extra retries need a known number of VMs", "[retry]")
{
    retry_budget budget({0.2, 56, 10s});
    CHECK_FALSE(budget.try_acquire_retry(models, 0, at(0ms)));
    for (int count = 0; count < 10; ++count)
        budget.record_request(models, at(0ms));
    CHECK(budget.try_acquire_retry(models, 0, at(1ms)));
    CHECK_FALSE(budget.try_acquire_retry(models, 0, at(2ms)));
    CHECK(budget.try_acquire_retry(models, 1, at(3ms)));
}

TEST_CASE("Entries that VMs publish round-trip through JSON", "[json]")
{
    const vm_presence here{instance_id("a.1"), 7, dc_id("dc1"), "10.1.0.40",
                           7340};
    CHECK(
        nlohmann::json::parse(nlohmann::json(here).dump()).get<vm_presence>() ==
        here);
    const vm_crashes seen{
        {{request_fingerprint("f1"), {server_id("e1"), server_id("e2")}}}};
    CHECK(
        nlohmann::json::parse(nlohmann::json(seen).dump()).get<vm_crashes>() ==
        seen);
    CHECK_THROWS_AS(nlohmann::json("text").get<vm_crashes>(),
                    nlohmann::json::exception);
    CHECK_THROWS_AS(nlohmann::json({{"f1", 4}}).get<vm_crashes>(),
                    nlohmann::json::exception);
}
