/** @file config_test.cpp Tests of the configuration in force. */
#include "config/config_base.hpp"
#include "config/config_check_func.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

namespace
{

platform_object plan_object(const std::string& name, object_version version,
                            token_count prepaid)
{
    return {plans_prefix + name, version,
            R"({"customer":")" + name + R"(","prepaid":)" +
                std::to_string(prepaid) + R"(,"api_keys":["k"]})",
            false};
}

} // namespace

TEST_CASE("an older version is ignored")
{
    fleet_config config;
    config.apply({plan_object("a", 5, 50)}, 5);
    CHECK(config.apply({plan_object("a", 4, 40)}, 4).empty());
    CHECK(config.plan(customer_id("a"))->prepaid == 50);
    CHECK(config.revision() == 5);
}

TEST_CASE("an invalid value is rejected and the one before stays in force")
{
    fleet_config config;
    config.apply({plan_object("a", 5, 50)}, 5);
    const auto changes = config.apply({plan_object("a", 6, -1)}, 6);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes.front().fault.empty());
    CHECK(config.plan(customer_id("a"))->prepaid == 50);
}

TEST_CASE("an API key in two plans belongs to the same customer on all VMs")
{
    fleet_config one;
    fleet_config other;
    one.apply({plan_object("a", 1, 1), plan_object("b", 2, 1)}, 2);
    other.apply({plan_object("b", 2, 1)}, 0);
    other.apply({plan_object("a", 1, 1)}, 2);
    CHECK(*one.customer_of_key("k") == *other.customer_of_key("k"));
    CHECK(one.customer_of_key("other") == nullptr);
}

TEST_CASE("a deletion removes the plan and is listed as a change")
{
    fleet_config config;
    config.apply({plan_object("a", 1, 1)}, 1);
    config.apply({{plans_prefix + "a", 2, "", true}}, 2);
    CHECK(config.plan(customer_id("a")) == nullptr);
    CHECK(config.customer_of_key("k") == nullptr);
    CHECK(config.changed_since(1).size() == 1);
}

TEST_CASE("the error names all faults of a plan")
{
    const auto plan = parse_plan(R"({"prepaid":-1,"weight":0})");
    REQUIRE_FALSE(plan);
    CHECK(plan.error().text.find("customer is missing") != std::string::npos);
    CHECK(plan.error().text.find("weight") != std::string::npos);
    CHECK_FALSE(parse_allowance("no json"));
}
