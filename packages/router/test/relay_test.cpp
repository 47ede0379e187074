/** @file relay_test.cpp Tests of the choice of another VM. */
#include "common/hash_func.hpp"
#include "router/config_poll_base.hpp"
#include "router/relay_selector_base.hpp"
#include "router_samples.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

std::vector<relay_peer> peers(int centres, int vms)
{
    std::vector<relay_peer> made;
    for (int centre = 0; centre < centres; ++centre)
        for (int vm = 0; vm < vms; ++vm) {
            const auto dc = "dc" + std::to_string(centre);
            made.push_back({vm_id(dc + "-" + std::to_string(vm)), dc_id(dc),
                            "10.0.0.1", 80});
        }
    return made;
}

} // namespace

TEST_CASE("Requests for other VMs are spread over all of them", "[relay]")
{
    const auto all = peers(3, 4);
    relay_selector selector;
    std::map<vm_id, int> counts;
    for (int number = 0; number < 120; ++number)
        ++counts[selector.choose(all, {}, at(0ms))->vm];
    for (const auto& [vm, count] : counts)
        CHECK(count == 10);
    CHECK(counts.size() == 12);
}

TEST_CASE("While a whole data centre is cut off, requests go to the others",
          "[relay]")
{
    const auto all = peers(2, 8);
    relay_selector selector;
    int wasted = 0;
    for (int number = 0; number < 200; ++number) {
        const auto now = at(milliseconds(number * 10));
        std::set<vm_id> tried;
        while (const auto peer = selector.choose(all, tried, now)) {
            tried.insert(peer->vm);
            const bool cut = peer->data_centre == dc_id("dc0");
            selector.release(
                *peer, cut ? relay_outcome::no_engine : relay_outcome::answered,
                now);
            if (!cut)
                break;
            ++wasted;
        }
    }
    CHECK(wasted <= 8);
}

TEST_CASE("While VMs of all data centres are cut off, requests find the others",
          "[relay]")
{
    const auto all = peers(4, 15);
    relay_selector selector;
    int requests = 0;
    int failed = 0;
    for (auto now = 0ms; now < 12'000ms; now += 50ms) {
        bool served = false;
        std::set<vm_id> tried;
        while (!served && tried.size() < 3) {
            const auto peer = selector.choose(all, tried, at(now));
            if (!peer)
                break;
            tried.insert(peer->vm);
            // Three of five VMs are cut off.
            served = stable_hash(peer->vm.value()) % 5 >= 3;
            selector.release(*peer,
                             served ? relay_outcome::answered
                                    : relay_outcome::no_engine,
                             at(now));
        }
        // The users' rule counts from 3 s after the cut.
        if (now >= 3'000ms) {
            ++requests;
            failed += served ? 0 : 1;
        }
    }
    CHECK(failed * 50 <= requests);
}

TEST_CASE("While no VM reaches an engine, few requests are passed on",
          "[relay]")
{
    const auto all = peers(2, 4);
    relay_selector selector;
    int sent = 0;
    for (int number = 0; number < 100; ++number)
        while (const auto peer = selector.choose(all, {}, at(10ms * number))) {
            selector.release(*peer, relay_outcome::no_engine,
                             at(10ms * number));
            ++sent;
        }
    CHECK(sent <= 16);
}

TEST_CASE("A VM reaches no engine once no connection could be opened",
          "[relay]")
{
    const auto all = engines(3);
    engine_selector selector;
    for (const auto& one : all) {
        CHECK(selector.reaches_any(all, std::nullopt));
        selector.release(one.id, prompt("a"), send_outcome::unreachable,
                         at(0ms));
    }
    CHECK_FALSE(selector.reaches_any(all, std::nullopt));
    selector.record_reachable(all[1].id);
    CHECK(selector.reaches_any(all, std::nullopt));
    // Without engines there is no cut.
    CHECK(selector.reaches_any({}, std::nullopt));
}

TEST_CASE("A VM asks others for the configuration while the store is away",
          "[relay][config]")
{
    const auto all = peers(2, 4);
    config_poll poll;
    std::map<vm_id, int> counts;
    for (int number = 0; number < 600; ++number)
        if (const auto peer = poll.choose(all, 7, number < 100 || number >= 500,
                                          at(milliseconds(number * 100))))
            ++counts[peer->vm];
    int questions = 0;
    for (const auto& [vm, count] : counts)
        questions += count;
    CHECK(questions == 80);
    CHECK(counts.size() == all.size());
    CHECK_FALSE(poll.choose({}, 7, false, at(100s)));
}

TEST_CASE("A version seen at another VM is asked for there at once",
          "[relay][config]")
{
    const auto all = peers(2, 4);
    config_poll poll;
    poll.record_version(8, all[5].vm);
    CHECK_FALSE(poll.choose(all, 8, true, at(0ms)));
    CHECK(poll.choose(all, 7, true, at(0ms)) == all[5]);
    // The VM is gone: others are asked, ever more seldom.
    int questions = 0;
    for (int number = 1; number < 1'000; ++number)
        questions += poll.choose(all, 7, true, at(milliseconds(number * 10)))
                         .has_value();
    CHECK(questions > 3);
    CHECK(questions < 20);
    // A VM that knows that it is behind never ceases to ask.
    questions = 0;
    for (int number = 0; number < 100; ++number)
        questions +=
            poll.choose(all, 7, true, at(10s + milliseconds(number * 1'000)))
                .has_value();
    CHECK(questions >= 10);
    CHECK(questions <= 16);
    poll.record_version(9, all[2].vm);
    CHECK(poll.choose(all, 7, true, at(110s)) == all[2]);
}
