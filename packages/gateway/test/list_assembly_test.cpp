/** @file list_assembly_test.cpp Tests of lists that come in pages. */
#include "gateway/list_assembly_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

namespace
{

platform::store_list page(const std::string& last, bool more,
                          std::uint64_t revision = 1)
{
    platform::store_list result;
    result.objects.emplace_back();
    result.objects.back().name = last;
    result.last_name = last;
    result.more = more;
    result.revision = revision;
    return result;
}

} // namespace

TEST_CASE("A list is whole once its last page was added", "[list]")
{
    list_assembly list;
    CHECK(list.cursor().empty());
    REQUIRE(list.add(page("b", true, 4)));
    CHECK_FALSE(list.whole());
    CHECK(list.cursor() == "b");
    // The order of names is the store's own.
    REQUIRE(list.add(page("a", true, 5)));
    REQUIRE(list.add(page("", false, 6)));
    CHECK(list.whole());
    const auto all = std::move(list).take();
    CHECK(all.objects.size() == 3);
    CHECK(all.revision == 4);
}

TEST_CASE("A list that doesn't advance is broken, not whole", "[list]")
{
    list_assembly list;
    REQUIRE(list.add(page("a", true)));
    REQUIRE(list.add(page("b", true)));
    SECTION("the same page again")
    {
        CHECK(list.add(page("b", true)).error().code ==
              error_code::invalid_input);
    }
    SECTION("an earlier page again")
    {
        CHECK_FALSE(list.add(page("a", true)));
    }
    SECTION("a page without a name")
    {
        CHECK_FALSE(list.add(page("", true)));
    }
    CHECK_FALSE(list.whole());
}
