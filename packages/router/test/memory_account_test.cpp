/** @file memory_account_test.cpp Tests of who may use memory and who yields. */
#include "router/memory_account_base.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

constexpr memory_limits limits{.capacity_bytes = 10'000,
                               .ordinary_bytes = 1'000,
                               .max_upload_bytes = 5'000,
                               .max_answer_bytes = 7'500,
                               .connection_bytes = 100,
                               .engine_bytes = 50,
                               .max_clients = 8,
                               .max_handled = 8,
                               .max_checks = 2,
                               .max_vms = 2};
constexpr auto long_stall = 600ms;
constexpr auto short_pause = 400ms;

/** Connections that free what they hold as soon as they are told to. */
class account_fixture
{
public:
    holder_id open(peer_kind kind = peer_kind::client)
    {
        // The handler is told the number that open() returns.
        const auto id = std::make_shared<holder_id>(0);
        *id = account_.open(
            kind,
            [this, id](bool at_once) {
                (at_once ? closed_ : told_).push_back(*id);
            },
            now_);
        return *id;
    }
    holder_id open(peer_state state, std::size_t bytes)
    {
        const auto id = open();
        account_.set_state(id, state, now_);
        REQUIRE(charge(id, bytes) == memory_result::charged);
        return id;
    }
    memory_result charge(holder_id id, std::size_t bytes)
    {
        return account_.charge(id, bytes, now_);
    }
    /** Closes the connections that were told to yield. */
    void leave()
    {
        for (const auto id : told_)
            account_.close(id);
    }

    memory_account account_{limits};
    std::vector<holder_id> told_;
    std::vector<holder_id> closed_;
    time_point now_{1h};
};

} // namespace

TEST_CASE("Limits leave room for a request of the largest size", "[memory]")
{
    const std::size_t smallest_vm = 88 * 1'024 * 1'024;
    const std::size_t largest_body = 4 * 1'024 * 1'024;
    const auto smallest = memory_limits_for(smallest_vm, 4'100);
    // A chunked body has no known length: its buffer doubles, and is copied.
    CHECK(grown_bytes(largest_body / 2, largest_body / 2, 8'192) +
              smallest.connection_bytes <
          smallest.max_upload_bytes);
    CHECK(smallest.max_upload_bytes < smallest.max_answer_bytes);
    CHECK(smallest.max_answer_bytes + 16 * smallest.ordinary_bytes <
          smallest.capacity_bytes);
    CHECK(smallest.capacity_bytes <= smallest_vm / 2);
    CHECK(smallest.max_clients + smallest.max_handled + smallest.max_vms +
              smallest.max_checks + 200 <
          4'100);
    CHECK(smallest.max_vms > 540 / 5);
    CHECK(memory_limits_for(0, 0).capacity_bytes > 0);
    CHECK(memory_limits_for(0, 0).max_clients > 0);
}

TEST_CASE("A growing buffer is charged with its copy", "[memory]")
{
    CHECK(grown_bytes(0, 15, 10) == 15);
    CHECK(grown_bytes(15, 15, 1) == 15 + 30);
    CHECK(grown_bytes(100, 100, 500) == 100 + 600);
}

TEST_CASE_METHOD(account_fixture, "Large requests leave room for ordinary ones",
                 "[memory]")
{
    open(peer_state::reading, 2'400);
    open(peer_state::reading, 2'400);
    const auto third = open(peer_state::reading, 800);
    CHECK(charge(third, 2'400) == memory_result::refused);
    CHECK(charge(third, 900) == memory_result::charged);
    open(peer_state::reading, 900);
    CHECK(told_.empty());
}

TEST_CASE_METHOD(account_fixture, "The upload that stalls longest yields",
                 "[memory]")
{
    const auto first = open(peer_state::reading, 2'400);
    now_ += 100ms;
    const auto second = open(peer_state::reading, 2'400);
    const auto third = open(peer_state::reading, 0);
    now_ += short_pause;
    account_.record_progress(first, 4'096, now_);
    CHECK(charge(third, 2'400) == memory_result::refused);
    now_ += 200ms;
    CHECK(charge(third, 2'400) == memory_result::wait);
    CHECK(told_ == std::vector{second});
    // Nobody else is told while the first one frees its memory.
    now_ += long_stall;
    CHECK(charge(third, 2'400) == memory_result::wait);
    CHECK(told_.size() == 1);
    leave();
    CHECK(charge(third, 2'400) == memory_result::charged);
}

TEST_CASE_METHOD(account_fixture, "Nobody yields in vain", "[memory]")
{
    open(peer_state::reading, 2'000);
    open(peer_state::served, 2'800);
    const auto other = open(peer_state::reading, 0);
    now_ += long_stall;
    CHECK(charge(other, 4'000) == memory_result::refused);
    CHECK(told_.empty());
    CHECK(charge(other, 2'000) == memory_result::wait);
    CHECK(told_.size() == 1);
}

TEST_CASE_METHOD(account_fixture, "A byte now and then is no progress",
                 "[memory]")
{
    const auto slow = open(peer_state::reading, 2'400);
    const auto other = open(peer_state::reading, 0);
    for (int second = 0; second < 4; ++second) {
        now_ += 200ms;
        account_.record_progress(slow, 1, now_);
    }
    CHECK(charge(other, 4'000) == memory_result::wait);
    CHECK(told_ == std::vector{slow});
}

TEST_CASE_METHOD(account_fixture, "A request that is handled does not yield",
                 "[memory]")
{
    open(peer_state::served, 3'000);
    open(peer_state::served, 3'000);
    const auto late = open(peer_state::served, 500);
    now_ += 1h;
    CHECK(charge(late, 3'000) == memory_result::refused);
    CHECK(told_.empty());
}

TEST_CASE_METHOD(account_fixture, "An unfinished request yields to an answer",
                 "[memory]")
{
    const auto upload = open(peer_state::reading, 4'000);
    open(peer_state::served, 2'000);
    const auto answer = open(peer_state::served, 500);
    CHECK(charge(answer, 3'000) == memory_result::wait);
    CHECK(told_ == std::vector{upload});
}

TEST_CASE_METHOD(account_fixture, "An answer that nobody reads yields",
                 "[memory]")
{
    const auto unread = open(peer_state::writing, 4'000);
    open(peer_state::served, 2'000);
    const auto answer = open(peer_state::served, 500);
    CHECK(charge(answer, 3'000) == memory_result::refused);
    now_ += long_stall;
    CHECK(charge(answer, 3'000) == memory_result::wait);
    CHECK(told_ == std::vector{unread});
}

TEST_CASE_METHOD(account_fixture,
                 "Small connections are not closed for the share of large ones",
                 "[memory]")
{
    open(peer_state::served, 4'000);
    const auto small = open(peer_state::reading, 10);
    const auto large = open(peer_state::reading, 10);
    now_ += long_stall;
    CHECK(charge(large, 4'000) == memory_result::refused);
    CHECK(told_.empty());
    CHECK(charge(small, 900) == memory_result::charged);
}

TEST_CASE_METHOD(account_fixture,
                 "A new connection takes the place of the longest idle one",
                 "[memory]")
{
    const auto oldest = open();
    now_ += 100ms;
    for (int count = 1; count < 8; ++count)
        open();
    CHECK(open() == 0);
    now_ += short_pause;
    CHECK(open() != 0);
    CHECK(closed_ == std::vector{oldest});
    CHECK(account_.connections() == 8);
    CHECK(open() == 0);
}

TEST_CASE_METHOD(account_fixture, "A refusal has time to be sent", "[memory]")
{
    for (int count = 0; count < 8; ++count)
        open(peer_state::refusing, 0);
    now_ += short_pause;
    CHECK(open() == 0);
    now_ += long_stall;
    CHECK(open() != 0);
}

TEST_CASE_METHOD(account_fixture, "Clients do not push out readiness checks",
                 "[memory]")
{
    const auto check = open(peer_kind::check);
    for (int count = 0; count < 8; ++count)
        open(peer_state::served, 0);
    now_ += long_stall;
    CHECK(open() == 0);
    CHECK(closed_.empty());
    CHECK(open(peer_kind::check) != 0);
    CHECK(open(peer_kind::check) != 0);
    CHECK(closed_ == std::vector{check});
}

TEST_CASE_METHOD(account_fixture,
                 "A crowd of one customer leaves places for the others",
                 "[memory]")
{
    const customer_id crowd("crowd");
    const customer_id other("other");
    std::vector<holder_id> ids;
    for (int count = 0; count < 8; ++count)
        ids.push_back(open(peer_state::served, 0));
    for (int count = 0; count < 7; ++count)
        CHECK(account_.begin_request(ids[count], crowd));
    CHECK_FALSE(account_.begin_request(ids[7], crowd));
    CHECK(account_.begin_request(ids[7], other));
    account_.end_request(ids[0]);
    CHECK_FALSE(account_.begin_request(ids[0], crowd));
    CHECK(account_.begin_request(ids[0], other));
    for (const auto ended : {ids[1], ids[2]})
        account_.end_request(ended);
    CHECK(account_.begin_request(ids[1], crowd));
}

TEST_CASE("Charges never exceed the capacity", "[memory]")
{
    rc::check([] {
        account_fixture fixture;
        std::vector<holder_id> ids;
        const auto steps = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, 1'000));
        for (const auto step : steps) {
            fixture.now_ += std::chrono::milliseconds(step % 300);
            const auto id = ids.empty() ? 0 : ids[step % ids.size()];
            if (step % 5 == 0)
                ids.push_back(fixture.open());
            else if (step % 5 == 1)
                fixture.account_.set_state(
                    id, static_cast<peer_state>(step / 5 % 5), fixture.now_);
            else if (step % 5 < 4)
                fixture.charge(id, step * 7);
            else
                fixture.leave();
            RC_ASSERT(fixture.account_.used_bytes() <= limits.capacity_bytes);
            RC_ASSERT(fixture.account_.connections() <= limits.max_clients);
        }
        for (const auto id : ids)
            fixture.account_.close(id);
        RC_ASSERT(fixture.account_.used_bytes() == 0);
    });
}
