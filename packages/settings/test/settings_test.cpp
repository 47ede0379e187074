/** @file settings_test.cpp Reading, checking and printing settings. */
#include "settings/settings_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

namespace
{

const std::string valid_text = "[vm]\nname = a\ndata_centre = dc1\n"
                               "[peers]\ncluster_key = 0123456789abcdef\n"
                               "[operators]\nkey = 0123456789abcdef\n";

} // namespace

TEST_CASE("settings that are not in the file have their defaults")
{
    const auto values = parse_settings(valid_text);
    REQUIRE(values);
    CHECK(values->vm_name == "a");
    CHECK(values->caller_port == 8080);
}

TEST_CASE("all faults are reported, sorted by line")
{
    const auto values = parse_settings("[vm]\nname = a\ncaller_port = 70000\n"
                                       "colour = red\n"
                                       "[peers]\ncluster_key = short\n"
                                       "heartbeat_ms = soon\n");
    REQUIRE_FALSE(values);
    std::vector<std::size_t> lines;
    for (const auto& fault : values.error())
        lines.push_back(fault.line);
    CHECK(lines == std::vector<std::size_t>{0, 0, 0, 3, 4, 7});
}

TEST_CASE("printed settings parse to the same values")
{
    auto values = *parse_settings(valid_text);
    values.seeds = "127.0.0.1:1";
    const auto again = parse_settings(print_settings(values));
    REQUIRE(again);
    CHECK(*again == values);
}

TEST_CASE("text that is not INI gives one fault with its line")
{
    const auto values = parse_settings("[vm]\nname\n");
    REQUIRE_FALSE(values);
    CHECK(values.error().front().line == 2);
}
