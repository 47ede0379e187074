/** @file wallet_test.cpp Tests of what a wallet tells of its headroom. */
#include "ledger/wallet_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

const customer_id acme("acme");

time_point at(std::chrono::milliseconds time)
{
    return time_point(time);
}

} // namespace

TEST_CASE("A reservation that overflows is refused", "[wallet]")
{
    wallet local_wallet;
    local_wallet.replace_terms(acme,
                               {{.granted = 1'000, .burst = 1'000}, at(0ms)});
    REQUIRE(local_wallet.reserve(acme, 600, at(0ms)));
    constexpr auto largest = std::numeric_limits<token_count>::max();
    for (const auto tokens : {largest, largest - 500, token_count{-1},
                              std::numeric_limits<token_count>::min()}) {
        CHECK_FALSE(local_wallet.reserve(acme, tokens, at(0ms)));
    }
    CHECK(local_wallet.headroom(acme, at(0ms)) == 400);
}

TEST_CASE("A wallet tells when its headroom covers a request", "[wallet]")
{
    wallet local;
    CHECK_FALSE(local.time_since_grant(acme, at(0s)));
    CHECK_FALSE(local.time_until_headroom(acme, 1, at(0s), 9s));
    ledger_share share;
    share.granted = 10'000;
    share.burst = 1'000;
    share.slope = 500;
    local.replace_terms(acme, {share, at(10s)});
    CHECK(local.time_since_grant(acme, at(12s)) == duration(2s));
    CHECK(local.time_until_headroom(acme, 1'000, at(10s), 3s) == duration(0));
    CHECK(local.time_until_headroom(acme, 2'000, at(10s), 3s) == duration(2s));
    CHECK(local.time_until_headroom(acme, 2'000, at(11s), 3s) == duration(1s));
    CHECK_FALSE(local.time_until_headroom(acme, 3'000, at(10s), 3s));
    CHECK_FALSE(local.time_until_headroom(acme, 11'000, at(10s), 60s));
    // What others have reserved meanwhile comes first.
    REQUIRE(local.reserve(acme, 1'500, at(11s)));
    CHECK(local.time_until_headroom(acme, 500, at(11s), 3s) == duration(1s));
    for (const auto tokens : {100, 700, 1'400, 6'000}) {
        const auto wait = local.time_until_headroom(acme, tokens, at(11s), 20s);
        REQUIRE(wait);
        CHECK(local.headroom(acme, at(11s) + *wait) >= tokens);
    }
}
