/** @file object_sync_test.cpp Tests of how current a VM's knowledge is. */
#include "router/config_knowledge_base.hpp"
#include "router/object_sync_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

} // namespace

TEST_CASE("What is confirmed never becomes older", "[sync]")
{
    object_sync sync;
    CHECK_FALSE(sync.evidence().confirmed);
    sync.record_answer(5, start, start + 1s);
    sync.record_answer(6, start - 2s, start + 3s);
    CHECK(sync.evidence() == sync_evidence{.revision = 6,
                                           .heard = start + 3s,
                                           .confirmed = start});
}

TEST_CASE("The newest version that anyone names is known", "[sync]")
{
    config_knowledge knowledge;
    knowledge.record_version(4, vm_id("a"));
    knowledge.record_version(3, vm_id("b"));
    CHECK(knowledge.evidence().newest_version == 4);
    CHECK(knowledge.evidence().newest_at == vm_id("a"));
}
