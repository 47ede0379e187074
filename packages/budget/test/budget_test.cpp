/** @file budget_test.cpp Tests of accounts and budget pools. */
#include "budget/account_cmd.hpp"
#include "budget/budget_pool_base.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;

namespace
{

token_count assigned(const account& value)
{
    token_count sum = value.settled + value.unproven;
    for (const auto& grant : value.grants)
        sum += grant.amount;
    return sum;
}

grant_renewal make_renewal(const std::string& holder, token_count used,
                           token_count extra)
{
    grant_renewal made;
    made.holder = instance_id(holder);
    made.used = used;
    made.extra = extra;
    made.prepaid = 1000;
    made.plan_version = 1;
    made.solo_percent = 20;
    return made;
}

} // namespace

TEST_CASE("a renewal adds at most the unassigned tokens")
{
    const auto first = renew_grant({}, make_renewal("a", 0, 700));
    REQUIRE(first);
    CHECK(first->extra == 700);
    const auto second = renew_grant(first->after, make_renewal("b", 0, 700));
    REQUIRE(second);
    CHECK(second->extra == 300);
    CHECK_FALSE(renew_grant(second->after, make_renewal("b", 301, 0)));
    CHECK_FALSE(renew_grant(second->after, make_renewal("b", 0, -301)));
}

TEST_CASE("an adoption frees tokens proven unspent; the rest becomes unproven")
{
    auto before = renew_grant({}, make_renewal("a", 0, 500))->after;
    before = renew_grant(before, make_renewal("a", 100, 0))->after;
    adoption evidence{.lost = instance_id("a"),
                      .heir = instance_id("b"),
                      .used_total = 150,
                      .open = 30,
                      .exact = true};
    const auto exact = adopt_grant(before, evidence);
    REQUIRE(exact);
    CHECK(exact->settled == 150);
    CHECK(find_grant(*exact, instance_id("b"))->amount == 30);
    CHECK(exact->unproven == 80); // Solo part: 20 % of the 400 granted.
    evidence.exact = false;
    CHECK(adopt_grant(before, evidence)->unproven == 320);
    CHECK_FALSE(adopt_grant(*exact, evidence));
}

TEST_CASE("random renewals and adoptions never assign more than prepaid")
{
    CHECK(rc::check("account invariant", [] {
        account value;
        const auto steps =
            *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, 4), rc::gen::inRange(-300, 900)));
        for (const auto& [who, amount] : steps) {
            const auto holder = std::string(1, static_cast<char>('a' + who));
            const auto* grant = find_grant(value, instance_id(holder));
            const auto used = grant == nullptr ? 0 : grant->amount / 3;
            const auto next =
                renew_grant(value, make_renewal(holder, used, amount));
            if (next)
                value = next->after;
            RC_ASSERT(assigned(value) <= 1000);
            RC_ASSERT(unassigned(value) >= 0);
        }
    }));
}

TEST_CASE("available tokens are covered whether or not a renewal took effect")
{
    budget_pool pool;
    pool.begin_renewal(100);
    CHECK_FALSE(pool.reserve(1));
    pool.confirm_renewal(100, 20);
    REQUIRE(pool.reserve(60));
    pool.settle(60, 50);
    const auto returning = pool.begin_renewal(-30);
    CHECK(returning.used == 50);
    CHECK(pool.available() == 20);
    CHECK_FALSE(pool.reserve(21));
    pool.confirm_renewal(-30, 4);
    CHECK(pool.available() == 20);
    CHECK(pool.granted() == 20);
}
