/** @file schedule_test.cpp Order by priority, floor and fair share. */
#include "schedule/fair_queue_base.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;

namespace
{

waiting_request item(std::uint64_t id, const std::string& customer,
                     priority rank, token_count cost = 100,
                     std::int64_t weight = 1)
{
    return {request_id(id), customer_id(customer), rank, weight, cost, {}};
}

} // namespace

TEST_CASE("urgent goes first, yet the others keep their floors in a flood")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 1000; ++id) {
        queue.push(item(id, "a", priority::urgent));
        queue.push(item(1000 + id, "a", priority::standard));
        queue.push(item(2000 + id, "a", priority::bulk));
    }
    std::array<int, priority_count> taken{};
    for (int count = 0; count < 1000; ++count)
        ++taken[static_cast<std::size_t>(queue.pop()->rank)];
    CHECK(taken[0] >= 790);
    CHECK(taken[1] >= 145);
    CHECK(taken[2] >= 45);
}

TEST_CASE("a small caller waits for at most one request of a large one")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 500; ++id)
        queue.push(item(id, "large", priority::standard));
    for (int count = 0; count < 100; ++count)
        queue.pop();
    queue.push(item(900, "small", priority::standard));
    const auto first = queue.pop();
    const auto second = queue.pop();
    CHECK((first->id == request_id(900) || second->id == request_id(900)));
}

TEST_CASE("backlogged customers are served by weight")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 400; ++id) {
        queue.push(item(id, "one", priority::standard, 100, 1));
        queue.push(item(1000 + id, "three", priority::standard, 100, 3));
    }
    int three = 0;
    for (int count = 0; count < 400; ++count)
        three += queue.pop()->customer == customer_id("three") ? 1 : 0;
    CHECK(three >= 298);
    CHECK(three <= 302);
}

TEST_CASE("whatever is pushed, erased and put back comes out once")
{
    CHECK(rc::check("conservation", [] {
        fair_queue queue({.floor_percent = {0, 15, 5}, .max_waiting = 64});
        std::set<std::uint64_t> inside;
        const auto steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        std::uint64_t next = 0;
        for (const auto step : steps) {
            if (step < 6) {
                const auto id = ++next;
                const auto rank = static_cast<priority>(step % 3);
                if (queue.push(item(id, std::string(1, char('a' + step)), rank,
                                    10 + step)))
                    inside.insert(id);
            }
            else if (step < 9) {
                const auto taken = queue.pop();
                RC_ASSERT(taken.has_value() == !inside.empty());
                if (taken && step == 8)
                    queue.push_front(*taken);
                else if (taken)
                    RC_ASSERT(inside.erase(taken->id.value()) == 1U);
            }
            else if (!inside.empty()) {
                RC_ASSERT(queue.erase(request_id(*inside.begin())));
                inside.erase(inside.begin());
            }
            RC_ASSERT(queue.size() == inside.size());
        }
    }));
}
