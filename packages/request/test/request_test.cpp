/** @file request_test.cpp Tests of charges, refunds and bill batches. */
#include "request/bill_outbox_base.hpp"
#include "request/charge_func.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

TEST_CASE(
    "charges are limited to the reservation, and late answers are refunded")
{
    bill draft;
    draft.usage = {40, 80};
    draft.timing = {900, 2000};
    const latency_target target{1000, 50, 5000, 50};
    CHECK(price_bill(draft, 200, target).net() == 120);
    CHECK(price_bill(draft, 100, target).net() == 100);
    draft.timing.first_token_ms = 1001;
    const auto late = price_bill(draft, 200, target);
    CHECK(late.charged == 120);
    CHECK(late.refunded == 60);
    draft.reversal = true;
    CHECK(price_bill(draft, 200, target).net() == -60);
}

TEST_CASE("a batch keeps its name and content until it is confirmed")
{
    bill_outbox outbox("bills/x/");
    bill entry;
    entry.key = idempotency_key("k1");
    outbox.add(entry);
    const auto first = outbox.next_batch();
    REQUIRE(first);
    entry.key = idempotency_key("k2");
    outbox.add(entry);
    CHECK(outbox.next_batch() == first);
    CHECK(outbox.size() == 2);
    CHECK(outbox.confirm().size() == 1);
    CHECK(outbox.next_batch()->name != first->name);
    CHECK(parse_bill_batch("broken").bills.empty());
}
