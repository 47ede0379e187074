/** @file schedule_test.cpp Tests of the fair queue. */
#include "schedule/fair_queue_base.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;

namespace
{

waiting_request make_request(std::uint64_t id, const std::string& customer,
                             priority rank, token_count cost = 100,
                             std::int64_t weight = 1)
{
    return {request_id(id), customer_id(customer), rank, weight, cost, {}};
}

} // namespace

TEST_CASE("urgent goes first, and all priorities get their minimum share")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 1000; ++id) {
        queue.push(make_request(id, "a", priority::urgent));
        queue.push(make_request(1000 + id, "a", priority::standard));
        queue.push(make_request(2000 + id, "a", priority::bulk));
    }
    std::array<int, priority_count> served{};
    for (int count = 0; count < 1000; ++count)
        ++served[static_cast<std::size_t>(queue.pop()->rank)];
    CHECK(served[0] >= 790);
    CHECK(served[1] >= 145);
    CHECK(served[2] >= 45);
}

TEST_CASE("a new customer waits for at most one request of a backlogged one")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 500; ++id)
        queue.push(make_request(id, "large", priority::standard));
    for (int count = 0; count < 100; ++count)
        queue.pop();
    queue.push(make_request(900, "small", priority::standard));
    const auto first = queue.pop();
    const auto second = queue.pop();
    CHECK((first->id == request_id(900) || second->id == request_id(900)));
}

TEST_CASE("backlogged customers are served in proportion to their weights")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 400; ++id) {
        queue.push(make_request(id, "one", priority::standard, 100, 1));
        queue.push(
            make_request(1000 + id, "three", priority::standard, 100, 3));
    }
    int three = 0;
    for (int count = 0; count < 400; ++count)
        three += queue.pop()->customer == customer_id("three") ? 1 : 0;
    CHECK(three >= 298);
    CHECK(three <= 302);
}

TEST_CASE("each pushed request leaves the queue exactly once")
{
    CHECK(rc::check("conservation", [] {
        fair_queue queue({.min_share_percent = {0, 15, 5}, .max_waiting = 64});
        std::set<std::uint64_t> queued;
        const auto steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        std::uint64_t next = 0;
        for (const auto step : steps) {
            if (step < 6) {
                const auto id = ++next;
                const auto rank = static_cast<priority>(step % 3);
                if (queue.push(make_request(
                        id, std::string(1, char('a' + step)), rank, 10 + step)))
                    queued.insert(id);
            }
            else if (step < 9) {
                const auto popped = queue.pop();
                RC_ASSERT(popped.has_value() == !queued.empty());
                if (popped && step == 8)
                    queue.push_front(*popped);
                else if (popped)
                    RC_ASSERT(queued.erase(popped->id.value()) == 1U);
            }
            else if (!queued.empty()) {
                RC_ASSERT(queue.erase(request_id(*queued.begin())));
                queued.erase(queued.begin());
            }
            RC_ASSERT(queue.size() == queued.size());
        }
    }));
}
