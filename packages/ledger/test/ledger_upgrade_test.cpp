/** @file ledger_upgrade_test.cpp Tests beside VMs of commit 57b712b. */
#include "ledger/ledger_layout_func.hpp"
#include "lone_vm.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/** A ledger that two VMs of 57b712b wrote. */
constexpr const char* previous_ledger = R"({
  "accounts": {"acme": {"closed": 0, "shares": {
    "vm-a.1796437520890499": [97136, 4060, 0, 9000, 2068, 19312, 0],
    "vm-b.1796437521487420": [156134, 3530, 0, 9000, 5739, 19582, 54]}}},
  "members": {
    "vm-a.1796437520890499": {"beat": 8, "boot": "295abeda", "boot_ms": 2622788,
      "closed": false, "first_turn": 1, "turn": 13, "vm": "vm-a",
      "wall_ms": 1796437527510, "marks": [
        {"turn": 3, "wall_ms": 1796437522282},
        {"turn": 5, "wall_ms": 1796437523326},
        {"turn": 7, "wall_ms": 1796437524370},
        {"turn": 9, "wall_ms": 1796437525418},
        {"turn": 11, "wall_ms": 1796437526462}]},
    "vm-b.1796437521487420": {"beat": 6, "boot": "295abeda", "boot_ms": 2622340,
      "closed": false, "first_turn": 2, "turn": 12, "vm": "vm-b",
      "wall_ms": 1796437527062, "marks": [
        {"turn": 2, "wall_ms": 1796437521900}]}},
  "turn": 13})";

/** @return What 57b712b writes after it has read a ledger: each value that it
 *  knows, as it reads it, and no other. Throws if it can't read one. */
json rewritten_by_previous_build(const json& from)
{
    json result{{"turn", from.at("turn").get<std::uint64_t>()},
                {"members", json::object()},
                {"accounts", json::object()}};
    for (const auto& [run, member] : from.at("members").items()) {
        auto& copy = result["members"][run];
        for (const auto* name : {"beat", "turn", "first_turn"})
            copy[name] = member.at(name).get<std::uint64_t>();
        for (const auto* name : {"wall_ms", "boot_ms"})
            copy[name] = member.at(name).get<std::int64_t>();
        copy["vm"] = member.at("vm").get<std::string>();
        copy["boot"] = member.at("boot").get<std::string>();
        copy["closed"] = member.at("closed").get<bool>();
        copy["marks"] = json::array();
        for (const auto& mark : member.at("marks"))
            copy["marks"].push_back(
                {{"turn", mark.at("turn").get<std::uint64_t>()},
                 {"wall_ms", mark.at("wall_ms").get<std::int64_t>()}});
    }
    for (const auto& [customer, account] : from.at("accounts").items()) {
        auto& copy = result["accounts"][customer];
        copy["closed"] = account.at("closed").get<token_count>();
        copy["shares"] = json::object();
        for (const auto& [run, share] : account.at("shares").items()) {
            auto& values = copy["shares"][run] = json::array();
            for (std::size_t at = 0; at < 7; ++at)
                values.push_back(share.at(at).get<token_count>());
        }
    }
    return result;
}

} // namespace

TEST_CASE("A ledger of the previous build is read without loss", "[upgrade]")
{
    const auto stored = json::parse(previous_ledger);
    const auto value = stored.get<ledger>();
    CHECK(value.accounts.at(acme).shares.size() == 2);
    CHECK(value.members.at(instance_id("vm-b.1796437521487420")).age_ms == 0);
    CHECK(json(value) == stored);
}

TEST_CASE("The previous build reads a ledger of this one", "[upgrade]")
{
    auto options = options_of("a");
    options.started = at(0ms).now;
    lone_vm vm(options);
    for (auto time = 100ms; time < 20s; time += 700ms) {
        vm.renew(1'000'000, time);
        REQUIRE(vm.local_wallet.reserve(acme, 500, at(time).now));
        vm.local_wallet.settle(acme, 500, 500);
    }
    const json stored = vm.writer.current();
    const auto rewritten = rewritten_by_previous_build(stored);
    // All that differs is what that build doesn't know.
    auto expected = vm.writer.current();
    for (auto& [run, member] : expected.members) {
        CHECK(member.age_ms > 0);
        member.age_ms = 0;
        for (auto& mark : member.marks)
            mark.age_ms = 0;
    }
    auto& account = expected.accounts.at(acme);
    CHECK(account.demand.per_s > 0);
    account.demand = {};
    CHECK(share_of(expected, "a.1").rate > 0);
    account.shares.at(instance_id("a.1")).rate = 0;
    CHECK(rewritten.get<ledger>() == expected);
    // And that build charges the share by the same limits, or larger ones.
    const auto share = share_of(expected, "a.1");
    CHECK(rewritten.get<ledger>().accounts.at(acme).shares.at(
              instance_id("a.1")) == share);
}

TEST_CASE("A run of the previous build is charged for all that it may spend",
          "[upgrade]")
{
    auto options = options_of("vm-a", 2);
    options.member.boot = "295abeda";
    options.started = time_point(2'624'788ms);
    wallet local_wallet;
    ledger_writer writer(options, local_wallet);
    const auto value = json::parse(previous_ledger).get<ledger>();
    writer.refreshed(value, 7, time_point(2'625s));
    const auto write =
        writer.prepare({{acme, 1'000'000}},
                       {time_point(2'625s), 1'796'437'529'722, 2'625'000});
    REQUIRE(write.closings.size() == 1);
    // Two seconds from its last write to the start of the next run.
    CHECK(write.closings[0].time_since_write == duration(2s));
    CHECK(write.next.accounts.at(acme).closed == 4'060 + 9'000 + 2 * 2'068);
}

TEST_CASE("Ages that the previous build drops lengthen the charge only",
          "[upgrade]")
{
    auto options = options_of("a");
    options.started = at(0ms).now;
    lone_vm first(options);
    first.renew(1'000'000, 1s);
    const auto dropped = rewritten_by_previous_build(first.writer.current());
    options = options_of("a", 2);
    options.started = at(3s).now;
    const auto charge = [&](const ledger& value) {
        wallet local_wallet;
        ledger_writer second(options, local_wallet);
        second.refreshed(value, 7, at(5s).now);
        return second.prepare({{acme, 1'000'000}}, at(5s))
            .next.accounts.at(acme)
            .closed;
    };
    CHECK(charge(dropped.get<ledger>()) == charge(first.writer.current()));
    // A third VM knows the start of the second run only from its entry.
    auto value = first.writer.current();
    wallet local_wallet;
    ledger_writer second(options, local_wallet);
    second.refreshed(value, 7, at(5s).now);
    auto joined = second.prepare({{acme, 1'000'000}}, at(5s)).next;
    joined.members.at(instance_id("a.1")).closed = false;
    ledger_renewal renewal;
    renewal.self = instance_id("c.1");
    renewal.member.vm = vm_id("c");
    renewal.member.boot_ms = 5'500;
    renewal.own_writes = {{0, 900}};
    CHECK(max_time_since_write(joined, renewal, instance_id("a.1")) ==
          duration(2'600ms));
    CHECK(
        max_time_since_write(rewritten_by_previous_build(joined).get<ledger>(),
                             renewal, instance_id("a.1")) == duration(4'600ms));
}

TEST_CASE("The layout of the previous build stays in force", "[upgrade]")
{
    CHECK(json::parse(R"({"parts": 65536})").get<ledger_layout>() ==
          layout_for(1'200));
    CHECK(json(layout_for(400)) == json::parse(R"({"parts": 1})"));
}
