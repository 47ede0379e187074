/** @file core_flow_test.cpp Flows of a small fleet, one fault at a time. */
#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

/** Two VMs in one data centre, one customer and idle backend servers. */
struct small_fleet
{
    simulation::fleet_simulation simulation{7};
    std::size_t a = 0;
    std::size_t b = 0;

    explicit small_fleet(token_count prepaid = 1'000'000)
    {
        simulation.add_customer("acme", prepaid);
        simulation.add_server("e1", "dc1", 64, "chat");
        simulation.add_server("o1", "dc1", 64, "orders", server_kind::service);
        a = simulation.add_vm("a", "dc1");
        b = simulation.add_vm("b", "dc1");
        simulation.run_for(2s);
    }

    /** @return Number of the VM that owns the customer. */
    [[nodiscard]] std::size_t owner() const
    {
        const auto& vm = const_cast<small_fleet*>(this)->simulation.vms()[a];
        const auto ranked = vm.core->members().ranking("acme", dc_id("dc1"));
        return ranked.front() == vm.instance ? a : b;
    }

    /**
     * Checks, while no request is open, that each key is billed once, that the
     * account has settled what is billed and that no more is granted than
     * the customer has prepaid.
     */
    void check_accounts()
    {
        const auto value = simulation.account_of("acme");
        token_count granted = 0;
        for (const auto& grant : value.grants)
            granted += grant.amount;
        token_count billed = 0;
        std::set<idempotency_key> keys;
        for (const auto& each : simulation.bills()) {
            CHECK(keys.insert(each.key).second);
            billed += each.net();
        }
        CHECK(value.settled == billed);
        CHECK(value.settled + value.unproven + granted <= value.prepaid);
    }
};

int bills_for(simulation::fleet_simulation& simulation, const std::string& key)
{
    int count = 0;
    for (const auto& each : simulation.bills())
        count += each.key.value() == key ? 1 : 0;
    return count;
}

} // namespace

/** Guards against requests that do not finish or are not billed once. */
TEST_CASE("a request is reserved, run and billed once")
{
    small_fleet fleet;
    const auto first = fleet.simulation.submit(fleet.a, "acme", "k1");
    const auto second = fleet.simulation.submit(fleet.b, "acme", "k2");
    fleet.simulation.run_for(30s);
    CHECK(fleet.simulation.callers()[first].finished);
    CHECK(fleet.simulation.callers()[second].finished);
    CHECK(bills_for(fleet.simulation, "k1") == 1);
    CHECK(bills_for(fleet.simulation, "k2") == 1);
    fleet.check_accounts();
}

/**
 * Guards against a second run of a retried request, at the same VM or at
 * another one, and against a different request under the same key that gets
 * the first one's answer.
 */
TEST_CASE("a retry joins its request, another body under its key conflicts")
{
    small_fleet fleet;
    fleet.simulation.submit(fleet.a, "acme", "k1");
    const auto retry = fleet.simulation.submit(fleet.a, "acme", "k1");
    const auto other =
        fleet.simulation.submit(fleet.a, "acme", "k1", 100, true, false, 12345);
    fleet.simulation.run_for(5ms);
    const auto remote = fleet.simulation.submit(fleet.b, "acme", "k1");
    const auto remote_other =
        fleet.simulation.submit(fleet.b, "acme", "k1", 100, true, false, 12345);
    fleet.simulation.run_for(10s);
    CHECK(fleet.simulation.callers()[retry].joined);
    CHECK(fleet.simulation.callers()[remote].relayed);
    REQUIRE(fleet.simulation.callers()[other].refused);
    CHECK(fleet.simulation.callers()[other].refused->reason ==
          refusal_reason::key_conflict);
    REQUIRE(fleet.simulation.callers()[remote_other].refused);
    CHECK(fleet.simulation.callers()[remote_other].refused->reason ==
          refusal_reason::key_conflict);
    CHECK(fleet.simulation.runs()
              .at({customer_id("acme"), idempotency_key("k1")})
              .started == 1);
}

/**
 * Guards against spending beyond the prepaid tokens, and against refusals that
 * go on after the customer has paid for more.
 */
TEST_CASE("an exhausted budget refuses requests as not run until a top-up")
{
    small_fleet fleet(1000);
    for (int count = 0; count < 40; ++count) {
        fleet.simulation.submit(fleet.a, "acme", "k" + std::to_string(count));
        fleet.simulation.run_for(300ms);
    }
    fleet.simulation.run_for(20s);
    int exhausted = 0;
    for (const auto& caller : fleet.simulation.callers())
        if (caller.refused) {
            CHECK(caller.refused->reason == refusal_reason::budget_exhausted);
            CHECK(caller.refused->ran == ran_state::no);
            ++exhausted;
        }
    CHECK(exhausted > 10);
    fleet.check_accounts();
    fleet.simulation.top_up("acme", 10'000);
    fleet.simulation.run_for(3s);
    const auto after = fleet.simulation.submit(fleet.b, "acme", "after");
    fleet.simulation.run_for(5s);
    CHECK(fleet.simulation.callers()[after].finished);
}

/**
 * Guards against lost or duplicate bills when an owner is killed with requests
 * in flight. Its heir adopts the grant once the VM is off the platform's list,
 * and not before, as the owner may only be unreachable.
 */
TEST_CASE("the heir adopts a killed owner's grant exactly")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto other = owner == fleet.a ? fleet.b : fleet.a;
    for (int count = 0; count < 20; ++count)
        fleet.simulation.submit(other, "acme", "k" + std::to_string(count));
    fleet.simulation.run_for(20ms);
    fleet.simulation.kill(owner);
    fleet.simulation.run_for(20s);
    CHECK(find_grant(fleet.simulation.account_of("acme"),
                     fleet.simulation.vms()[owner].instance) != nullptr);
    fleet.simulation.unlist(owner);
    fleet.simulation.run_for(40s);
    for (const auto& caller : fleet.simulation.callers())
        CHECK(caller.finished);
    const auto value = fleet.simulation.account_of("acme");
    CHECK(find_grant(value, fleet.simulation.vms()[owner].instance) == nullptr);
    fleet.check_accounts();
    CHECK(fleet.simulation.bills().size() == 20);
}

/**
 * Guards against a grant that stays with a dead instance: a VM that restarts
 * stays on the platform's list, so only its new instance proves that the
 * earlier one has ended.
 */
TEST_CASE("a restarted VM's earlier grant is adopted while the VM is listed")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    fleet.simulation.submit(owner, "acme", "k1");
    fleet.simulation.run_for(2s);
    fleet.simulation.kill(owner);
    fleet.simulation.run_for(100ms);
    fleet.simulation.add_vm(fleet.simulation.vms()[owner].name.value(), "dc1");
    fleet.simulation.run_for(30s);
    CHECK(find_grant(fleet.simulation.account_of("acme"),
                     fleet.simulation.vms()[owner].instance) == nullptr);
    fleet.check_accounts();
    CHECK(bills_for(fleet.simulation, "k1") == 1);
}

/**
 * Guards against unbounded spending without a witness: a VM that loses its
 * peer and the platform can't tell whether it was itself taken as lost, and
 * may spend only the solo part of its grant.
 */
TEST_CASE("a VM without a witness and platform spends only its solo part")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto other = owner == fleet.a ? fleet.b : fleet.a;
    fleet.simulation.submit(owner, "acme", "warm");
    fleet.simulation.run_for(8s);
    const auto held = find_grant(fleet.simulation.account_of("acme"),
                                 fleet.simulation.vms()[owner].instance);
    REQUIRE(held != nullptr);
    const auto solo = held->solo;
    fleet.simulation.platform_down = true;
    fleet.simulation.kill(other);
    fleet.simulation.run_for(3s);
    for (int count = 0; count < 200; ++count) {
        fleet.simulation.submit(owner, "acme", "s" + std::to_string(count));
        fleet.simulation.run_for(100ms);
    }
    const auto* pool = fleet.simulation.vms()[owner].core->local_owner().pool(
        customer_id("acme"));
    REQUIRE(pool != nullptr);
    CHECK(pool->used() + pool->reserved() <= solo);
    CHECK(pool->used() > 0);
}

/**
 * Guards against an order that runs twice. A lost or late answer of the
 * platform leaves it open whether the claim was made, while a retry asks for
 * the same claim at another VM.
 */
TEST_CASE("an order runs at most once when platform answers are lost")
{
    small_fleet fleet;
    fleet.simulation.submit(fleet.a, "acme", "warm");
    fleet.simulation.run_for(1s);
    fleet.simulation.faults = {
        .lost_answer = 150, .lost_request = 100, .late_write = 50};
    for (int count = 0; count < 30; ++count) {
        const auto key = "order" + std::to_string(count);
        fleet.simulation.submit(fleet.a, "acme", key, 1, false);
        fleet.simulation.run_for(200ms);
        fleet.simulation.submit(fleet.b, "acme", key, 1, false);
    }
    fleet.simulation.run_for(60s);
    std::set<idempotency_key> ran;
    for (const auto& [key, run] : fleet.simulation.runs()) {
        CHECK(run.started <= 1);
        ran.insert(key.key);
    }
    CHECK(ran.size() > 10);
}

/**
 * Guards against tokens that stay granted to a VM after its shutdown, and
 * against open requests that the shutdown breaks off.
 */
TEST_CASE("a drained VM finishes its requests and returns its grants")
{
    small_fleet fleet;
    const auto owner = fleet.owner();
    const auto open = fleet.simulation.submit(owner, "acme", "k1");
    fleet.simulation.run_for(20ms);
    fleet.simulation.drain(owner);
    const auto late = fleet.simulation.submit(owner, "acme", "k2");
    fleet.simulation.run_for(20s);
    CHECK(fleet.simulation.callers()[open].finished);
    REQUIRE(fleet.simulation.callers()[late].refused);
    CHECK(fleet.simulation.callers()[late].refused->ran == ran_state::no);
    CHECK(fleet.simulation.vms()[owner].drained);
    const auto* grant = find_grant(fleet.simulation.account_of("acme"),
                                   fleet.simulation.vms()[owner].instance);
    CHECK((grant == nullptr || grant->amount == 0));
    fleet.check_accounts();
}

/**
 * Guards against requests to a server that an operator has drained: VMs that
 * can't reach the platform learn of it only from the VM that drains it.
 */
TEST_CASE("peers are notified of a leaving server during a platform outage")
{
    small_fleet fleet;
    fleet.simulation.add_server("e2", "dc1", 64, "chat");
    fleet.simulation.run_for(2s);
    fleet.simulation.platform_down = true;
    const auto handle_event = [&](std::size_t vm, const core_event& event) {
        return fleet.simulation.vms()[vm].core->handle(event,
                                                       fleet.simulation.now());
    };
    const auto actions = handle_event(fleet.a, drain_server{server_id("e1")});
    const bool peer_notified = std::any_of(
        actions.begin(), actions.end(), [](const core_action& action) {
            const auto* sent = std::get_if<send_peer>(&action);
            return sent != nullptr &&
                   std::holds_alternative<server_notice>(sent->message);
        });
    CHECK(peer_notified);
}

/**
 * Guards against VMs with old configuration: a VM that can't reach the
 * platform, or that starts during an outage, has to get it from its peers.
 */
TEST_CASE("configuration reaches VMs that can't reach the platform")
{
    small_fleet fleet;
    const auto c = fleet.simulation.add_vm("c", "dc2");
    fleet.simulation.run_for(3s);
    fleet.simulation.vms()[c].platform_cut = true;
    fleet.simulation.top_up("acme", 5);
    fleet.simulation.run_for(4s);
    const customer_id acme("acme");
    const auto newest =
        fleet.simulation.vms()[fleet.a].core->config().plan_version(acme);
    for (const auto vm : {fleet.a, fleet.b, c})
        CHECK(fleet.simulation.vms()[vm].core->config().plan_version(acme) ==
              newest);
    fleet.simulation.platform_down = true;
    const auto d = fleet.simulation.add_vm("d", "dc1");
    fleet.simulation.run_for(4s);
    CHECK(fleet.simulation.vms()[d].core->config().plan_version(acme) ==
          newest);
}
