/** @file load_test.cpp Tests of link load, rotation and store call pauses. */
#include "router/fleet_presence_base.hpp"
#include "router/link_load_base.hpp"
#include "router/sync_interval_func.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

time_point at(std::chrono::milliseconds time)
{
    return time_point(time);
}

} // namespace

TEST_CASE("Changes in the store take effect in time after every pause",
          "[sync]")
{
    for (const auto contact : {3s, 4s, 5s}) {
        const sync_bounds bounds{.config_apply_time = contact - 1s,
                                 .engine_drain_time = contact - 1s,
                                 .contact_time = contact};
        const auto pauses = sync_intervals_for(bounds);
        // A call that gets no answer is repeated after its time-out of 1 s.
        CHECK(pauses.after_config + 1s < bounds.config_apply_time);
        CHECK(pauses.after_engines + 1s < bounds.engine_drain_time);
        CHECK(pauses.between_crash_writes + pauses.after_crashes + 1s <
              bounds.contact_time);
        CHECK(pauses.max_probe_pause + 1s < bounds.contact_time);
    }
}

TEST_CASE("A series of crashes costs each VM a bounded number of calls",
          "[sync]")
{
    // 300 VMs each lose a request to the same engine and write their records.
    const auto pauses = sync_intervals_for({.contact_time = 5s});
    int answers = 0;
    time_point next_watch{};
    for (int write = 0; write < 300; ++write) {
        const time_point written{write * 10ms};
        if (written < next_watch)
            continue;
        ++answers;
        next_watch = written + pauses.after_crashes;
    }
    CHECK(answers <= 3);
}

namespace
{

/** Plays traffic over a link of 1 MB/s, sampled each 125 ms. */
struct simulated_link
{
    link_load load{{.bytes_per_s = 1e6}};
    link_traffic total;
    time_point now{1s};

    void run(double received_per_s, double sent_per_s, duration length)
    {
        for (duration elapsed{}; elapsed < length; elapsed += 125ms) {
            total.received += static_cast<std::uint64_t>(received_per_s / 8);
            total.sent += static_cast<std::uint64_t>(sent_per_s / 8);
            now += 125ms;
            load.record(total, now);
        }
    }
};

} // namespace

TEST_CASE("A link is overloaded within a second of a rush of clients", "[link]")
{
    simulated_link link;
    link.run(50'000, 60'000, 10s);
    CHECK_FALSE(link.load.overloaded());
    SECTION("by what they send")
    {
        link.run(700'000, 100'000, 1s);
    }
    SECTION("by what they receive")
    {
        link.run(100'000, 700'000, 1s);
    }
    CHECK(link.load.overloaded());
    CHECK(link.load.utilization() == Approx(0.7));
}

TEST_CASE("A single large request does not overload a link", "[link]")
{
    simulated_link link;
    link.run(50'000, 60'000, 10s);
    link.total.received += 150'000;
    link.run(50'000, 60'000, 5s);
    CHECK_FALSE(link.load.overloaded());
}

TEST_CASE("A link whose clients come back with it rests longer each time",
          "[link]")
{
    simulated_link link;
    link.run(700'000, 0, 1s);
    REQUIRE(link.load.overloaded());
    link.run(0, 0, 58s);
    CHECK(link.load.overloaded());
    link.run(0, 0, 3s);
    REQUIRE_FALSE(link.load.overloaded());
    link.run(700'000, 0, 1s);
    REQUIRE(link.load.overloaded());
    link.run(0, 0, 118s);
    CHECK(link.load.overloaded());
    link.run(0, 0, 3s);
    CHECK_FALSE(link.load.overloaded());
}

TEST_CASE("An overload lasts as long as the rush", "[link]")
{
    simulated_link link;
    link.run(700'000, 0, 70s);
    CHECK(link.load.overloaded());
    link.run(300'000, 0, 10s);
    CHECK(link.load.overloaded());
    link.run(200'000, 0, 1s);
    CHECK_FALSE(link.load.overloaded());
}

TEST_CASE("A link of unknown capacity is never overloaded", "[link]")
{
    link_load load({});
    load.record({0, 0}, at(1s));
    load.record({1'000'000'000, 0}, at(2s));
    CHECK_FALSE(load.overloaded());
}

TEST_CASE("At most two fifths of a data centre's VMs leave the rotation",
          "[presence]")
{
    const dc_id south("south");
    fleet_presence presence({.self = vm_id("vm-0")});
    CHECK_FALSE(presence.may_leave_rotation(south, at(0s)));
    std::map<vm_id, vm_presence> entries;
    for (int number = 0; number < 5; ++number)
        entries[vm_id("vm-" + std::to_string(number))].data_centre = south;
    // VMs of other data centres don't count.
    entries[vm_id("far")] = {.data_centre = dc_id("north"),
                             .out_of_rotation = true};
    presence.update(entries, at(0s));
    CHECK(presence.may_leave_rotation(south, at(0s)));
    entries[vm_id("vm-1")].out_of_rotation = true;
    presence.update(entries, at(1s));
    CHECK(presence.may_leave_rotation(south, at(1s)));
    entries[vm_id("vm-2")].out_of_rotation = true;
    presence.update(entries, at(2s));
    CHECK_FALSE(presence.may_leave_rotation(south, at(2s)));
}
