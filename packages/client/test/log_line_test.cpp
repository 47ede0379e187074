/** @file log_line_test.cpp Tests the parser of the VMs' log lines. */
#include "client/log_line_type.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;

TEST_CASE("plain and quoted fields of a line are parsed", "[log]")
{
    const auto line = parse_log_line(
        R"(t=1200 vm=a event=stop why="no \"port\" = left" ms=5 empty="")");
    REQUIRE(line);
    CHECK(line->time_ms == 1200);
    CHECK(line->vm == "a");
    CHECK(line->event == "stop");
    CHECK(line->field("why") == "no \"port\" = left");
    CHECK(line->field("ms") == "5");
    CHECK(line->field("empty").empty());
    CHECK(line->field("other").empty());
}

TEST_CASE("text that a log collector puts before a line is ignored", "[log]")
{
    const auto line = parse_log_line("  12.5 host-1 t=7 vm=a event=start");
    REQUIRE(line);
    CHECK(line->time_ms == 7);
}

TEST_CASE("lines without a valid time or event are rejected", "[log]")
{
    CHECK_FALSE(parse_log_line(""));
    CHECK_FALSE(parse_log_line("hello"));
    CHECK_FALSE(parse_log_line("t=x event=start"));
    CHECK_FALSE(parse_log_line("t=5 vm=a"));
    CHECK(rc::check("random lines", [] {
        const auto text = "t=1 event=e " +
                          *rc::gen::container<std::string>(
                              rc::gen::element('a', '=', '"', '\\', ' ', '1'));
        (void)parse_log_line(text);
    }));
}
