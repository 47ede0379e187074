/** @file placement_test.cpp Tests of the choice of an engine. */
#include "router_samples.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

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

TEST_CASE("A prompt is not fetched from another software version",
          "[placement]")
{
    auto all = engines(2);
    all[0].software = software_version("v1");
    all[1].software = software_version("v2");
    engine_selector selector;
    for (int number = 0; number < 20; ++number)
        CHECK_FALSE(
            selector.place(prompt("hot"), all, {}, at(0ms))->fetch_from);
    CHECK(selector.open_at(all[0].id) > 0);
    CHECK(selector.open_at(all[1].id) > 0);
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
    chooser.apply_view({}, at(2s));
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
