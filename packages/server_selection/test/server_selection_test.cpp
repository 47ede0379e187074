/** @file server_selection_test.cpp Tests of the choice of a backend server. */
#include "server_selection/server_directory_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

server_entry entry(const std::string& name, const std::string& dc,
                   std::int64_t slots)
{
    server_entry made;
    made.server = server_id(name);
    made.data_centre = dc_id(dc);
    made.port = 1;
    made.slots = slots;
    made.targets = {target_id("chat")};
    return made;
}

server_directory directory(std::int64_t slots)
{
    server_directory made({.load_report_ttl = 3s,
                           .initial_failure_backoff = 1s,
                           .max_failure_backoff = 8s});
    std::map<server_id, server_entry> entries;
    for (const auto* name : {"a", "b", "c"})
        entries[server_id(name)] = entry(name, "dc1", slots);
    entries[server_id("far")] = entry("far", "dc2", slots);
    made.assign(entries);
    return made;
}

const time_point start{100s};

server_requirements requirements(std::uint64_t prefix)
{
    return {target_id("chat"), dc_id("dc1"), prefix, {}};
}

} // namespace

TEST_CASE("equal prompts go to the same server; other data centres come last")
{
    auto servers = directory(2);
    const auto first = servers.choose(requirements(7), start);
    CHECK(servers.choose(requirements(7), start) == first);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = servers.choose(requirements(7), start);
        REQUIRE(chosen);
        CHECK(chosen != server_id("far"));
        servers.record_start(*chosen);
    }
    CHECK(servers.choose(requirements(7), start) == server_id("far"));
}

TEST_CASE("a server that is marked or reports itself as leaving is not chosen")
{
    auto servers = directory(1);
    servers.mark_leaving(server_id("a"));
    servers.record_load(server_id("b"), {0, 0, 1, true}, start);
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix)
        CHECK(servers.choose(requirements(prefix), start) == server_id("c"));
}

TEST_CASE("the back-off of a failed server ends, and doubles each time")
{
    auto servers = directory(1);
    for (const auto* name : {"b", "c", "far"})
        servers.mark_leaving(server_id(name));
    servers.record_failure(server_id("a"), start);
    CHECK_FALSE(servers.choose(requirements(1), start + 500ms));
    CHECK(servers.choose(requirements(1), start + 1100ms));
    servers.record_failure(server_id("a"), start + 2s);
    CHECK_FALSE(servers.choose(requirements(1), start + 3500ms));
    CHECK(servers.choose(requirements(1), start + 4100ms));
}

TEST_CASE(
    "requests of other VMs in a load report occupy slots until it expires")
{
    auto servers = directory(4);
    for (const auto* name : {"b", "c", "far"})
        servers.mark_leaving(server_id(name));
    servers.record_load(server_id("a"), {4, 0, 4, false}, start);
    CHECK_FALSE(servers.choose(requirements(1), start));
    CHECK(servers.choose(requirements(1), start + 10s));
}
