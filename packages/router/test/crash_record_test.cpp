/** @file crash_record_test.cpp Tests of the search for requests that crash
 *  engines. */
#include "router/crash_record_base.hpp"
#include "router/request_trait_func.hpp"
#include "router_samples.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

request_trait trait(const std::string& name)
{
    return request_trait(name);
}

crash_sighting crash(const std::string& engine,
                     std::vector<request_trait> traits,
                     std::chrono::milliseconds sent)
{
    return {std::move(traits), server_id(engine), at(sent)};
}

/** Crashes of one trait, of requests that were sent in doubt or not. */
vm_crashes reported(const std::string& name,
                    const std::vector<std::string>& engines, bool in_doubt)
{
    vm_crashes result;
    for (const auto& engine : engines)
        result.crashes[trait(name)][server_id(engine)] = in_doubt;
    return result;
}

std::vector<trait_combination> blocked(crash_record& record,
                                       std::chrono::milliseconds now)
{
    record.update(at(now));
    return record.blocked();
}

const std::vector<trait_combination> none;

} // namespace

TEST_CASE("A request is blocked after it crashed three engines in the fleet",
          "[crash]")
{
    crash_record record;
    const auto bad = fingerprint_of("POST", "/a/1", "acme", "boom");
    const auto other = fingerprint_of("POST", "/a/1", "acme", "fine");
    CHECK(bad != other);
    CHECK(bad == fingerprint_of("POST", "/a/1", "acme", "boom"));
    record.record_crash(crash("e1", {bad}, 0ms), at(0ms));
    record.record_crash(crash("e1", {other}, 0ms), at(0ms));
    record.record_crash(crash("e2", {bad}, 100ms), at(150ms));
    CHECK(blocked(record, 1s) == none);
    // VM b saw one of the same crashes; VM c saw that of a third engine.
    record.replace_peer_crashes(
        vm_id("b"), {{{bad, {{server_id("e2"), false}}}}, {}}, at(1s));
    CHECK(blocked(record, 1s) == none);
    record.replace_peer_crashes(vm_id("c"),
                                {{{bad, {{server_id("e3"), false}}},
                                  {other, {{server_id("e2"), false}}}},
                                 {}},
                                at(1s));
    CHECK(blocked(record, 1s) == std::vector<trait_combination>{{bad}});
}

TEST_CASE("Requests that share a crashing part are recognised by it", "[crash]")
{
    request_head head;
    head.prompt = {{"first", 10}, {"bad", 20}, {"own", 30}};
    const auto traits = traits_of(head, "body");
    REQUIRE(traits.size() == 3);
    CHECK(traits[0] == fingerprint_of("", "", "", "body"));
    CHECK(traits[2] == trait_of_part({"bad", 99}));
    CHECK_FALSE(is_part(traits[0]));
    CHECK(is_part(traits[2]));
    CHECK(find_combination(traits, {{traits[2]}}));
    CHECK(find_combination(traits, {{trait("x")}, {traits[1], traits[2]}}));
    CHECK_FALSE(find_combination(traits, {{traits[1], trait("x")}}));
    CHECK_FALSE(find_combination(traits, {}));
    CHECK_FALSE(find_combination(traits, {{trait_of_part({"own", 30})}}));
}

TEST_CASE("An outage of many engines blocks none of the requests they had",
          "[crash]")
{
    crash_record record;
    const auto popular = trait_of_part({"popular"});
    for (int number = 0; number < 9; ++number)
        record.record_crash(crash("e" + std::to_string(number), {popular}, 0ms),
                            at(1s));
    CHECK(blocked(record, 2s) == none);
    // Requests are resumed at engines that fail a moment later.
    for (int number = 20; number < 24; ++number)
        record.record_crash(
            crash("e" + std::to_string(number), {popular}, 1'400ms), at(2s));
    CHECK(blocked(record, 2s) == none);
    // They would be sent in doubt in a second outage, had none been served.
    record.record_served({popular}, at(3s), at(4s));
    record.record_crash(crash("e10", {popular}, 5s), at(6s));
    CHECK(blocked(record, 6s) == none);
}

TEST_CASE(
    "A resumed request that meets an outage of many engines is not blocked",
    "[crash]")
{
    crash_record record;
    const auto resumed = trait_of_part({"resumed"});
    for (int number = 0; number < 10; ++number)
        record.record_crash(crash("other" + std::to_string(number),
                                  {trait(std::to_string(number))}, 0ms),
                            at(1s));
    record.record_crash(crash("e1", {resumed}, 0ms), at(1s));
    record.record_crash(crash("e2", {resumed}, 1'010ms), at(1'040ms));
    record.record_crash(crash("e3", {resumed}, 1'600ms), at(1'800ms));
    CHECK(blocked(record, 2s) == none);
    // It goes on after the outage.
    record.record_crash(crash("e4", {resumed}, 5s), at(6s));
    CHECK(blocked(record, 6s) == none);
    record.record_crash(crash("e5", {resumed}, 7s), at(8s));
    CHECK(blocked(record, 8s) == std::vector<trait_combination>{{resumed}});
}

TEST_CASE("A request that ran beside a crashing one is cleared when served",
          "[crash]")
{
    crash_record record;
    record.record_crash(crash("e1", {trait("a")}, 0ms), at(1s));
    record.record_crash(crash("e2", {trait("a")}, 2s), at(3s));
    // Its answer began before the second crash was known.
    CHECK(record.record_served({trait("a")}, at(2s), at(5s)));
    record.update(at(5s));
    CHECK(record.own().crashes.at(trait("a")).size() == 1);
    record.record_crash(crash("e3", {trait("a")}, 4s), at(6s));
    CHECK(blocked(record, 6s) == none);
    CHECK_FALSE(record.record_served({trait("b")}, at(6s), at(7s)));
}

TEST_CASE("What one VM cleared is cleared for all", "[crash]")
{
    crash_record record;
    record.record_crash(crash("e1", {trait("a")}, 0ms), at(1s));
    record.record_crash(crash("e2", {trait("a")}, 2s), at(3s));
    record.record_crash(crash("e3", {trait("a")}, 4s), at(5s));
    CHECK(blocked(record, 5s) == std::vector<trait_combination>{{trait("a")}});
    vm_crashes peer;
    peer.cleared[trait("a")] = {server_id("e1")};
    record.replace_peer_crashes(vm_id("b"), peer, at(6s));
    CHECK(blocked(record, 6s) == none);
    CHECK(record.own().crashes.at(trait("a")).size() == 2);
    CHECK(nlohmann::json(peer).get<vm_crashes>() == peer);
    CHECK(nlohmann::json(record.own()).get<vm_crashes>() == record.own());
}

TEST_CASE("A trait that another one explains is not blocked", "[crash]")
{
    crash_record record;
    for (const auto* engine : {"e1", "e2", "e3", "e4"}) {
        const auto sent = 1s * (engine[1] - '0');
        record.record_crash(crash(engine, {trait("bad")}, sent), at(sent + 1s));
        if (engine != std::string("e4"))
            record.record_crash(crash(engine, {trait("beside")}, sent),
                                at(sent + 1s));
    }
    CHECK(blocked(record, 6s) ==
          std::vector<trait_combination>{{trait("bad")}});
}

TEST_CASE("Traits with the same crashes are blocked together only", "[crash]")
{
    crash_record record;
    for (const auto* engine : {"e1", "e2", "e3"}) {
        const auto sent = 1s * (engine[1] - '0');
        record.record_crash(
            crash(engine, {trait("bad"), trait("beside")}, sent),
            at(sent + 1s));
    }
    CHECK(blocked(record, 5s) ==
          std::vector<trait_combination>{{trait("bad"), trait("beside")}});
    // A request with one of them only tells which it is.
    record.record_crash(crash("e4", {trait("bad")}, 5s), at(6s));
    CHECK(blocked(record, 6s) ==
          std::vector<trait_combination>{{trait("bad")}});
}

TEST_CASE("Crashes that block nothing expire", "[crash]")
{
    crash_record record;
    record.replace_peer_crashes(vm_id("b"), reported("a", {"e1", "e2"}, true),
                                at(0ms));
    record.record_crash(crash("e9", {trait("c")}, 0ms), at(0ms));
    record.update(at(59s));
    CHECK(record.suspected() ==
          std::set<request_trait>{trait("a"), trait("c")});
    record.update(at(60s));
    CHECK(record.suspected().empty());
    CHECK(record.own() == vm_crashes{});
}

TEST_CASE("A block outlasts the VMs that saw the crashes and lasts while it "
          "refuses requests",
          "[crash]")
{
    crash_record record;
    const std::vector<trait_combination> bad{{trait("bad")}};
    record.replace_peer_crashes(
        vm_id("b"), reported("bad", {"e1", "e2", "e3"}, true), at(0ms));
    CHECK(blocked(record, 1s) == bad);
    CHECK(blocked(record, 59min) == bad);
    CHECK(record.replace_peer_crashes(vm_id("b"), {}, at(59min)));
    CHECK(blocked(record, 59min) == bad);
    CHECK(record.own() == reported("bad", {"e1", "e2", "e3"}, true));
    record.record_refused({trait("bad")}, at(59min));
    CHECK(blocked(record, 118min) == bad);
    CHECK(blocked(record, 120min) == none);
    CHECK(record.own() == vm_crashes{});
}

TEST_CASE("A block of sound requests ends with a trial", "[crash]")
{
    crash_record record;
    const std::vector<trait_combination> sound{{trait("sound")}};
    record.replace_peer_crashes(
        vm_id("b"), reported("sound", {"e1", "e2", "e3"}, true), at(0ms));
    CHECK(blocked(record, 0ms) == sound);
    record.record_refused({trait("sound")}, at(9min));
    CHECK(record.due_trials(at(9min)).empty());
    CHECK(record.due_trials(at(10min)) == sound);
    record.record_trial(sound[0], at(10min));
    CHECK(record.due_trials(at(49min)).empty());
    CHECK(record.due_trials(at(50min)) == sound);
    CHECK(record.record_served({trait("sound")}, at(50min), at(51min)));
    CHECK(blocked(record, 52min) == none);
    CHECK(record.due_trials(at(200min)).empty());
}

TEST_CASE("A restarted VM restores its crashes and blocks", "[crash]")
{
    crash_record record;
    record.restore_own(reported("bad", {"e1", "e2", "e3"}, true), at(0ms));
    CHECK(blocked(record, 0ms) ==
          std::vector<trait_combination>{{trait("bad")}});
}

TEST_CASE("A trait that this VM serves is not blocked", "[crash]")
{
    crash_record record;
    record.replace_peer_crashes(vm_id("b"), reported("a", {"e1"}, true),
                                at(0ms));
    record.update(at(0ms));
    record.record_served({trait("a")}, at(1s), at(1s));
    record.replace_peer_crashes(
        vm_id("b"), reported("a", {"e2", "e3", "e4"}, true), at(2s));
    CHECK(blocked(record, 2s) == none);
    CHECK(blocked(record, 3s).size() == 1);
}

TEST_CASE("The crash record of a VM is bounded", "[crash]")
{
    crash_record record({.max_traits = 10});
    for (int number = 0; number < 50; ++number)
        record.record_crash(crash("e", {trait(std::to_string(number))}, 0ms),
                            at(number * 1ms));
    CHECK(record.own().crashes.size() == 10);
    CHECK(record.own().crashes.count(trait("49")) == 1);
}
