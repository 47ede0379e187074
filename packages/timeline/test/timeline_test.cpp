/** @file timeline_test.cpp Hybrid clock, event buffer and metrics. */
#include "timeline/metrics_base.hpp"
#include "timeline/timeline_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

TEST_CASE("an effect sorts after its cause even if its clock is behind")
{
    hybrid_clock ahead;
    hybrid_clock behind;
    const auto cause = ahead.next(from_microseconds(2000));
    behind.observe(cause);
    const auto effect = behind.next(from_microseconds(1000));
    CHECK(cause < effect);
    CHECK(effect < behind.next(from_microseconds(1000)));
}

TEST_CASE("the event buffer keeps the newest events and filters them")
{
    timeline_buffer ring(2);
    for (const auto* key : {"k1", "k2", "k3"}) {
        timeline_event event;
        event.key = idempotency_key(key);
        event.kind = timeline_kind::first_token;
        ring.push(event);
    }
    CHECK(ring.select({}).size() == 2);
    CHECK(ring.select({.key = idempotency_key("k1")}).empty());
    CHECK(ring.select({.kind = "first_token"}).size() == 2);
    CHECK(ring.select({.kind = "peer_up"}).empty());
}

TEST_CASE("metrics are exposed as counters and summaries")
{
    metrics_registry metrics;
    metrics.count("calls", 2);
    metrics.observe("seconds", std::chrono::milliseconds(5));
    const auto text = metrics.expose();
    CHECK(text.find("calls 2\n") != std::string::npos);
    CHECK(text.find("seconds_count 1\n") != std::string::npos);
}
