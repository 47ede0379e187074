/** @file core_flow_test.cpp Single faults, one core decision at a time. */
#include "core_bag.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

/** Two VMs in one data centre, one customer, room for work. */
struct small_fleet
{
    bag::core_bag bag{7};
    std::size_t a = 0;
    std::size_t b = 0;

    explicit small_fleet(token_count prepaid = 1'000'000)
    {
        bag.add_customer("acme", prepaid);
        bag.add_server("e1", "dc1", 64, "chat");
        bag.add_server("o1", "dc1", 64, "orders", server_kind::service);
        a = bag.add_vm("a", "dc1");
        b = bag.add_vm("b", "dc1");
        bag.run_for(2s);
    }

    [[nodiscard]] std::size_t owner() const
    {
        const auto& vm = const_cast<small_fleet*>(this)->bag.vms()[a];
        const auto ranked = vm.core->members().ranking("acme", dc_id("dc1"));
        return ranked.front() == vm.instance ? a : b;
    }

    /** Adds up what holds at rest: nothing open, nothing lost. */
    void check_books()
    {
        const auto value = bag.account_of("acme");
        token_count granted = 0;
        for (const auto& grant : value.grants)
            granted += grant.amount;
        token_count billed = 0;
        std::set<idempotency_key> keys;
        for (const auto& each : bag.bills()) {
            CHECK(keys.insert(each.key).second);
            billed += each.net();
        }
        CHECK(value.settled == billed);
        CHECK(value.settled + value.unproven + granted <= value.prepaid);
    }
};

int bills_for(bag::core_bag& bag, const std::string& key)
{
    int count = 0;
    for (const auto& each : bag.bills())
        count += each.key.value() == key ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("a request is reserved, run and billed once")
{
    small_fleet fleet;
    const auto first = fleet.bag.submit(fleet.a, "acme", "k1");
    const auto second = fleet.bag.submit(fleet.b, "acme", "k2");
    fleet.bag.run_for(30s);
    CHECK(fleet.bag.callers()[first].finished);
    CHECK(fleet.bag.callers()[second].finished);
    CHECK(bills_for(fleet.bag, "k1") == 1);
    CHECK(bills_for(fleet.bag, "k2") == 1);
    fleet.check_books();
}

TEST_CASE("a retry joins, and another body under its key is a conflict")
{
    small_fleet fleet;
    fleet.bag.submit(fleet.a, "acme", "k1");
    const auto retry = fleet.bag.submit(fleet.a, "acme", "k1");
    const auto other =
        fleet.bag.submit(fleet.a, "acme", "k1", 100, true, false, 12345);
    fleet.bag.run_for(5ms);
    const auto remote = fleet.bag.submit(fleet.b, "acme", "k1");
    const auto remote_other =
        fleet.bag.submit(fleet.b, "acme", "k1", 100, true, false, 12345);
    fleet.bag.run_for(10s);
    CHECK(fleet.bag.callers()[retry].joined);
    CHECK(fleet.bag.callers()[remote].relayed);
    REQUIRE(fleet.bag.callers()[other].refused);
    CHECK(fleet.bag.callers()[other].refused->reason ==
          refusal_reason::key_conflict);
    REQUIRE(fleet.bag.callers()[remote_other].refused);
    CHECK(fleet.bag.callers()[remote_other].refused->reason ==
          refusal_reason::key_conflict);
    CHECK(fleet.bag.runs()
              .at({customer_id("acme"), idempotency_key("k1")})
              .begun == 1);
}

TEST_CASE("an exhausted budget refuses as not run and never goes below zero")
{
    small_fleet fleet(1000);
    for (int count = 0; count < 40; ++count) {
        fleet.bag.submit(fleet.a, "acme", "k" + std::to_string(count));
        fleet.bag.run_for(300ms);
    }
    fleet.bag.run_for(20s);
    int exhausted = 0;
    for (const auto& caller : fleet.bag.callers())
        if (caller.refused) {
            CHECK(caller.refused->reason == refusal_reason::budget_exhausted);
            CHECK(caller.refused->ran == ran_state::no);
            ++exhausted;
        }
    CHECK(exhausted > 10);
    fleet.check_books();
    fleet.bag.top_up("acme", 10'000);
    fleet.bag.run_for(3s);
    const auto after = fleet.bag.submit(fleet.b, "acme", "after");
    fleet.bag.run_for(5s);
    CHECK(fleet.bag.callers()[after].finished);
}

TEST_CASE("the owner's death moves its grant to the other VM, to the token")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto other = owner == fleet.a ? fleet.b : fleet.a;
    for (int count = 0; count < 20; ++count)
        fleet.bag.submit(other, "acme", "k" + std::to_string(count));
    fleet.bag.run_for(20ms);
    fleet.bag.kill(owner);
    fleet.bag.run_for(20s);
    CHECK(find_grant(fleet.bag.account_of("acme"),
                     fleet.bag.vms()[owner].instance) != nullptr);
    fleet.bag.unlist(owner);
    fleet.bag.run_for(40s);
    for (const auto& caller : fleet.bag.callers())
        CHECK(caller.finished);
    const auto value = fleet.bag.account_of("acme");
    CHECK(find_grant(value, fleet.bag.vms()[owner].instance) == nullptr);
    fleet.check_books();
    CHECK(fleet.bag.bills().size() == 20);
}

TEST_CASE("a restarted VM's earlier run is adopted without the list")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    fleet.bag.submit(owner, "acme", "k1");
    fleet.bag.run_for(2s);
    fleet.bag.kill(owner);
    fleet.bag.run_for(100ms);
    fleet.bag.add_vm(fleet.bag.vms()[owner].name.value(), "dc1");
    fleet.bag.run_for(30s);
    CHECK(find_grant(fleet.bag.account_of("acme"),
                     fleet.bag.vms()[owner].instance) == nullptr);
    fleet.check_books();
    CHECK(bills_for(fleet.bag, "k1") == 1);
}

TEST_CASE("a VM alone and cut off from the platform spends its solo part only")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto other = owner == fleet.a ? fleet.b : fleet.a;
    fleet.bag.submit(owner, "acme", "warm");
    fleet.bag.run_for(8s);
    const auto held = find_grant(fleet.bag.account_of("acme"),
                                 fleet.bag.vms()[owner].instance);
    REQUIRE(held != nullptr);
    const auto solo = held->solo;
    fleet.bag.platform_down = true;
    fleet.bag.kill(other);
    fleet.bag.run_for(3s);
    for (int count = 0; count < 200; ++count) {
        fleet.bag.submit(owner, "acme", "s" + std::to_string(count));
        fleet.bag.run_for(100ms);
    }
    const auto* pool =
        fleet.bag.vms()[owner].core->owned().pool(customer_id("acme"));
    REQUIRE(pool != nullptr);
    CHECK(pool->used() + pool->reserved() <= solo);
    CHECK(pool->used() > 0);
}

TEST_CASE("an order runs once, whatever answers the platform loses")
{
    small_fleet fleet;
    fleet.bag.submit(fleet.a, "acme", "warm");
    fleet.bag.run_for(1s);
    fleet.bag.faults = {
        .lost_answer = 150, .lost_request = 100, .late_write = 50};
    for (int count = 0; count < 30; ++count) {
        const auto key = "order" + std::to_string(count);
        fleet.bag.submit(fleet.a, "acme", key, 1, false);
        fleet.bag.run_for(200ms);
        fleet.bag.submit(fleet.b, "acme", key, 1, false);
    }
    fleet.bag.run_for(60s);
    std::set<idempotency_key> ran;
    for (const auto& [key, run] : fleet.bag.runs()) {
        CHECK(run.begun <= 1);
        ran.insert(key.key);
    }
    CHECK(ran.size() > 10);
}

TEST_CASE("a drained VM gives its grants back and says goodbye")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto open = fleet.bag.submit(owner, "acme", "k1");
    fleet.bag.run_for(20ms);
    fleet.bag.drain(owner);
    const auto late = fleet.bag.submit(owner, "acme", "k2");
    fleet.bag.run_for(20s);
    CHECK(fleet.bag.callers()[open].finished);
    REQUIRE(fleet.bag.callers()[late].refused);
    CHECK(fleet.bag.callers()[late].refused->ran == ran_state::no);
    CHECK(fleet.bag.vms()[owner].drained);
    const auto* grant = find_grant(fleet.bag.account_of("acme"),
                                   fleet.bag.vms()[owner].instance);
    CHECK((grant == nullptr || grant->amount == 0));
    fleet.check_books();
}

TEST_CASE("a leaving server gets no new work, also where the platform is cut")
{
    small_fleet fleet;
    fleet.bag.add_server("e2", "dc1", 64, "chat");
    fleet.bag.run_for(2s);
    fleet.bag.platform_down = true;
    const auto tell = [&](std::size_t vm, const core_event& event) {
        return fleet.bag.vms()[vm].core->handle(event, fleet.bag.now());
    };
    const auto actions = tell(fleet.a, drain_server{server_id("e1")});
    const bool told = std::any_of(
        actions.begin(), actions.end(), [](const core_action& action) {
            const auto* sent = std::get_if<send_peer>(&action);
            return sent != nullptr &&
                   std::holds_alternative<server_notice>(sent->message);
        });
    CHECK(told);
}

TEST_CASE("configuration reaches all VMs and never goes back")
{
    small_fleet fleet;
    const auto c = fleet.bag.add_vm("c", "dc2");
    fleet.bag.run_for(3s);
    fleet.bag.vms()[c].platform_cut = true;
    fleet.bag.top_up("acme", 5);
    fleet.bag.run_for(4s);
    const customer_id acme("acme");
    const auto newest =
        fleet.bag.vms()[fleet.a].core->config().plan_version(acme);
    for (const auto vm : {fleet.a, fleet.b, c})
        CHECK(fleet.bag.vms()[vm].core->config().plan_version(acme) == newest);
    fleet.bag.platform_down = true;
    const auto d = fleet.bag.add_vm("d", "dc1");
    fleet.bag.run_for(4s);
    CHECK(fleet.bag.vms()[d].core->config().plan_version(acme) == newest);
}
