/** @file gateway_test.cpp Tests of the event splitter and the metrics. */
#include "gateway/event_splitter_base.hpp"
#include "gateway/gateway_metrics_base.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;
using namespace std::chrono_literals;

TEST_CASE("The splitter returns whole events with their ids", "[events]")
{
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\nid").size() == 1);
    CHECK(splitter.inside_event());
    const auto events = splitter.feed(": 2\r\ndata: b\n\ndata: c\n\n");
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == 2);
    CHECK(events[0].bytes == "id: 2\r\ndata: b\n\n");
    CHECK_FALSE(events[1].id);
    CHECK_FALSE(splitter.inside_event());
}

TEST_CASE("Lines of events may end with CR LF", "[events]")
{
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\r\ndata: a\r\n\r").empty());
    const auto events = splitter.feed("\nid: 2\r\n\r\nid");
    REQUIRE(events.size() == 2);
    CHECK(events[0].bytes == "id: 1\r\ndata: a\r\n\r\n");
    CHECK(events[1].id == 2);
    CHECK(splitter.inside_event());
}

TEST_CASE("An event id that is not a number is ignored", "[events]")
{
    event_splitter splitter;
    CHECK_FALSE(splitter.feed("id: x1\n\n")[0].id);
    CHECK_FALSE(splitter.feed("id: 99999999999999999999999\n\n")[0].id);
    CHECK(splitter.feed("weight-versions: 3\nid:7\n\n")[0].id == 7);
}

TEST_CASE("The same events result however a stream is divided", "[events]")
{
    CHECK(rc::check("cuts", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('i', 'd', ':', ' ', '4', '\r', '\n', '\n'));
        event_splitter whole;
        auto expected = whole.feed(text);
        event_splitter cut;
        std::vector<stream_event> got;
        for (std::size_t from = 0; from < text.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 5);
            for (auto& event : cut.feed(text.substr(from, size)))
                got.push_back(event);
            from += size;
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(cut.inside_event() == whole.inside_event());
    }));
}

TEST_CASE("Metrics are exposed with type and cumulative buckets", "[metrics]")
{
    gateway_metrics metrics;
    metrics.add(counter::requests, 3);
    metrics.observe(histogram::first_event, 30ms);
    metrics.observe(histogram::first_event, 60s);
    const auto text = metrics.expose();
    const auto has = [&](const char* line) {
        return text.find(line) != std::string::npos;
    };
    CHECK(has("# TYPE rosemarydeck_requests_total counter\n"
              "rosemarydeck_requests_total 3\n"));
    CHECK(has("first_event_ms_bucket{le=\"25\"} 0\n"));
    CHECK(has("first_event_ms_bucket{le=\"50\"} 1\n"));
    CHECK(has("first_event_ms_bucket{le=\"+Inf\"} 2\n"));
    CHECK(has("first_event_ms_sum 60030\n"));
}
