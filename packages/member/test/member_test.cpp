/** @file member_test.cpp Tests of suspicion, probation and ownership. */
#include "member/instance_id_func.hpp"
#include "member/membership_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

member_info info(const std::string& vm, std::uint64_t started = 1)
{
    member_info made;
    made.vm = vm_id(vm);
    made.data_centre = dc_id("dc1");
    made.started = started;
    made.instance = make_instance_id(made.vm, started);
    return made;
}

const time_point start{100s};

} // namespace

TEST_CASE("missing heartbeats lead to suspicion, flapping to longer probation")
{
    membership members({.self = info("a"),
                        .suspect_timeout = 2s,
                        .probation = 1s,
                        .max_probation = 8s});
    const auto b = info("b");
    members.record_heartbeat(b, start);
    CHECK(members.is_live(b.instance));
    members.check_timeouts(start + 3s);
    CHECK(members.state_of(b.instance) == member_state::suspected);
    members.record_heartbeat(b, start + 4s);
    CHECK_FALSE(members.is_live(b.instance));
    members.record_heartbeat(b, start + 5s);
    CHECK(members.is_live(b.instance));
    members.suspect(b.instance);
    members.record_heartbeat(b, start + 6s);
    members.record_heartbeat(b, start + 7s);
    CHECK_FALSE(members.is_live(b.instance));
    members.mark_gone(b.instance);
    members.record_heartbeat(b, start + 20s);
    CHECK(members.state_of(b.instance) == member_state::gone);
}

TEST_CASE("when a VM leaves, only its customers get another owner")
{
    membership members({.self = info("a"), .suspect_timeout = 2s});
    for (const auto* name : {"b", "c", "d"})
        members.record_heartbeat(info(name), start);
    std::map<std::string, instance_id> owners;
    for (int count = 0; count < 200; ++count) {
        const auto key = "customer" + std::to_string(count);
        owners[key] = members.ranking(key, dc_id("dc1")).front();
    }
    members.suspect(info("c").instance);
    for (const auto& [key, owner] : owners)
        if (owner != info("c").instance)
            CHECK(members.ranking(key, dc_id("dc1")).front() == owner);
}

TEST_CASE("an instance id contains the VM and the start number")
{
    const auto instance = make_instance_id(vm_id("a.b"), 17);
    CHECK(vm_of(instance) == vm_id("a.b"));
    CHECK(start_number_of(instance) == 17);
    CHECK(start_number_of(instance_id("odd")) == 0);
}
