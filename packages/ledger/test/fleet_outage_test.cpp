/** @file fleet_outage_test.cpp Tests of budgets while no VM reaches the store.
 */
#include "fleet_recovery.hpp"
#include "ledger/ledger_demand_func.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

/** Stated targets: the part of prepaid tokens that may be charged in vain where
 *  clients use less while the VMs are dark, and the part of the requests that
 *  is served without the store. */
constexpr double max_in_vain = 0.03;
constexpr double min_served = 0.8;

double part(token_count tokens, token_count of)
{
    return static_cast<double>(tokens) / static_cast<double>(of);
}

/** Sums and largest parts over ten seeds. */
struct outage_result
{
    double in_vain_beyond_dark = 0; ///< Less the demand in the dark time.
    double served = 1;              ///< Least of the parts in the cut.
    token_count overspent = 0;
};

outage_result play(fleet_fault fault)
{
    outage_result result;
    double worst = 0;
    const auto dark_s = static_cast<double>(fault.dark.count()) / 1'000;
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        fault.seed = seed;
        const auto outcome = fleet_recovery(fault).play();
        const auto in_vain = part(outcome.in_vain, outcome.prepaid);
        worst = std::max(worst, in_vain);
        result.in_vain_beyond_dark =
            std::max(result.in_vain_beyond_dark,
                     in_vain - outcome.demand_per_s * dark_s /
                                   static_cast<double>(outcome.prepaid));
        result.served =
            std::min(result.served,
                     1 - part(outcome.cut_refused, outcome.cut_requested));
        result.overspent += outcome.overspent;
    }
    WARN("charged in vain at most " << worst << ", served without the store "
                                    << result.served);
    return result;
}

/** All VMs are cut off for some time, and die at its end. */
fleet_fault cut_off(std::chrono::milliseconds from,
                    std::chrono::milliseconds span)
{
    return {.prepaid_factor = 1.05,
            .at = from + span,
            .day = 60'000ms,
            .cut_before = 8,
            .cut_before_for = span};
}

} // namespace

TEST_CASE("A fleet that dies in its first seconds loses what it may have used",
          "[outage]")
{
    auto fault = cut_off(4'200ms, 1'800ms);
    fault.dark = 5'000ms;
    fault.cut_after = 8;
    fault.cut_after_for = 1'200ms;
    const auto result = play(fault);
    CHECK(result.overspent == 0);
    CHECK(result.in_vain_beyond_dark < max_in_vain);
}

TEST_CASE("A fleet that is cut off early serves its customers", "[outage]")
{
    const auto result = play(cut_off(5'100ms, 7'500ms));
    CHECK(result.overspent == 0);
    CHECK(result.in_vain_beyond_dark < max_in_vain);
    CHECK(result.served >= min_served);
}

TEST_CASE("A fleet that is cut off late serves its customers", "[outage]")
{
    const auto result = play(cut_off(40'000ms, 7'500ms));
    CHECK(result.overspent == 0);
    CHECK(result.in_vain_beyond_dark < max_in_vain);
    CHECK(result.served >= min_served);
}

TEST_CASE("The demand for a budget outlasts the runs that have measured it",
          "[demand]")
{
    ledger_account account;
    account.shares[instance_id("a.1")].rate = 900;
    account.shares[instance_id("b.1")].rate = 100;
    account.demand = update_demand(account, 50'000);
    CHECK(account.demand == ledger_demand{1'000, 50'000});
    account.shares.clear();
    account.demand = update_demand(account, 51'000);
    CHECK(account.demand.per_s > 800);
    CHECK(expected_rate(account, 0, 100'000, 2) > 200);
    // A clock that jumps does not drop it.
    CHECK(update_demand(account, 9'000'000).per_s > 700);
    CHECK(update_demand(account, 0) == ledger_demand{account.demand.per_s, 0});
    // Before any use a part of the total stands for it.
    CHECK(expected_rate({}, 0, 100'000, 2) > 0);
}
