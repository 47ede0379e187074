/** @file stream_registry_test.cpp Tests of where taken-up streams go on. */
#include "router/stream_registry_base.hpp"
#include "router_samples.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

stream_origin origin(const std::string& software)
{
    return {models, software_version(software)};
}

/** VMs that share a store, as control_stream.cpp connects them to it. */
class stream_fleet
{
public:
    explicit stream_fleet(int vms) : vms_(static_cast<std::size_t>(vms))
    {
        for (int number = 0; number < vms; ++number)
            restart(number);
    }

    void restart(int vm)
    {
        registry(vm) = std::make_unique<stream_registry>();
        if (store_.count(name(vm)))
            registry(vm)->restore(store_[name(vm)], now_);
        registry(vm)->update_listed(listed_, now_);
        read(vm);
    }
    void list(const std::set<stream_origin>& origins)
    {
        listed_ = origins;
        for (auto& one : vms_)
            one->update_listed(listed_, now_);
    }
    void list_at(int vm, const std::set<stream_origin>& origins)
    {
        registry(vm)->update_listed(origins, now_);
    }
    void advance(std::chrono::milliseconds time) { now_ += time; }
    /** @param answered False: the write is done, but its answer is lost. */
    void publish(int vm, bool answered = true)
    {
        const auto report = registry(vm)->take_due_report(8, 400, now_);
        if (!report)
            return;
        const nlohmann::json stored = *report;
        store_[name(vm)] = stored.get<stream_report>();
        if (answered)
            registry(vm)->record_published(*report, now_);
    }
    bool begin(int vm, const std::string& stream, const stream_origin& at)
    {
        if (!registry(vm)->allowed()->count(at))
            return false;
        registry(vm)->record_begun(stream_id(stream), at);
        return true;
    }
    void break_off(int vm, const std::string& stream)
    {
        registry(vm)->record_ended(stream_id(stream), false, now_);
    }
    std::optional<stream_origin> take_up(int vm, const std::string& stream)
    {
        read(vm);
        return registry(vm)->resolve(stream_id(stream), models);
    }

private:
    static vm_id name(int vm) { return vm_id("vm" + std::to_string(vm)); }
    std::unique_ptr<stream_registry>& registry(int vm)
    {
        return vms_[static_cast<std::size_t>(vm)];
    }
    void read(int vm)
    {
        auto reports = store_;
        reports.erase(name(vm));
        registry(vm)->replace_peers(std::move(reports));
    }

    std::vector<std::unique_ptr<stream_registry>> vms_;
    std::map<vm_id, stream_report> store_;
    std::set<stream_origin> listed_;
    time_point now_ = at(1'000'000ms);
};

} // namespace

TEST_CASE("Streams with ids of any bytes and length have keys of their own",
          "[streams]")
{
    CHECK(stream_key("s-1") == stream_id("s-1"));
    const std::string ids[] = {std::string(65, 'a'),
                               std::string(66, 'a'),
                               "\xf6",
                               "\xfc",
                               "a b",
                               "#1"};
    std::set<stream_id> keys;
    for (const auto& id : ids) {
        const auto key = stream_key(id);
        CHECK(key == stream_key(id));
        CHECK(key.value().size() <= max_stream_key_bytes);
        keys.insert(key);
    }
    CHECK(keys.size() == std::size(ids));
}

TEST_CASE("While one version serves, a stream that nobody lists is its",
          "[stream]")
{
    stream_fleet fleet(2);
    fleet.list({origin("v1")});
    CHECK_FALSE(fleet.begin(0, "a", origin("v1")));
    fleet.publish(0);
    CHECK(fleet.begin(0, "a", origin("v1")));
    fleet.restart(0);
    CHECK(fleet.take_up(0, "a") == origin("v1"));
    CHECK(fleet.take_up(1, "a") == origin("v1"));
}

TEST_CASE("A stream of one of two versions is found by the reports", "[stream]")
{
    stream_fleet fleet(2);
    fleet.list({origin("v1")});
    fleet.publish(0);
    REQUIRE(fleet.begin(0, "old", origin("v1")));
    fleet.list({origin("v1"), origin("v2")});
    fleet.publish(0);
    REQUIRE(fleet.begin(0, "new", origin("v2")));
    // Told at the next report only.
    CHECK_FALSE(fleet.take_up(1, "new"));
    fleet.advance(300ms);
    fleet.publish(0);
    fleet.restart(0);
    fleet.restart(1);
    for (const int vm : {0, 1}) {
        CHECK(fleet.take_up(vm, "old") == origin("v1"));
        CHECK(fleet.take_up(vm, "new") == origin("v2"));
        CHECK_FALSE(fleet.take_up(vm, "unknown"));
    }
}

TEST_CASE("A stream is not taken for one of the new version once its own left",
          "[stream]")
{
    stream_fleet fleet(1);
    fleet.list({origin("v1")});
    fleet.publish(0);
    REQUIRE(fleet.begin(0, "a", origin("v1")));
    fleet.list({origin("v2")});
    fleet.publish(0);
    fleet.restart(0);
    CHECK(fleet.take_up(0, "a") == origin("v1"));
    // Nobody takes it up any more.
    fleet.advance(61s);
    fleet.publish(0);
    CHECK(fleet.take_up(0, "b") == origin("v2"));
}

TEST_CASE("Two streams with the same id are not told apart", "[stream]")
{
    stream_fleet fleet(1);
    fleet.list({origin("v1"), origin("v2")});
    fleet.publish(0);
    fleet.begin(0, "a", origin("v1"));
    fleet.begin(0, "a", origin("v2"));
    CHECK_FALSE(fleet.take_up(0, "a"));
}

TEST_CASE("Reports of many VMs keep to a part of the store's writes",
          "[stream]")
{
    for (const auto& [vms, writes_per_s] :
         {std::pair(8U, 400.0), std::pair(61U, 1'200.0),
          std::pair(295U, 3'200.0)}) {
        stream_registry registry;
        registry.update_listed({origin("v1"), origin("v2")}, at(0ms));
        int reports = 0;
        for (int ms = 0; ms < 10'000; ms += 10) {
            registry.record_begun(stream_id(std::to_string(ms)), origin("v1"));
            const auto report = registry.take_due_report(vms, writes_per_s,
                                                         at(milliseconds(ms)));
            if (!report)
                continue;
            ++reports;
            registry.record_published(*report, at(milliseconds(ms)));
        }
        CHECK(reports * vms / 10.0 <= 0.11 * writes_per_s);
        CHECK(reports >= 10);
    }
}

TEST_CASE("Streams that no client takes up are not listed", "[stream]")
{
    stream_registry registry;
    registry.update_listed({origin("v1"), origin("v2")}, at(0ms));
    for (const auto* id : {"whole", "broken", "open"})
        registry.record_begun(stream_id(id), origin("v1"));
    registry.record_ended(stream_id("whole"), true, at(0ms));
    registry.record_ended(stream_id("broken"), false, at(0ms));
    const auto report = registry.take_due_report(8, 400, at(0ms));
    REQUIRE(report);
    CHECK(report->streams.size() == 2);
    CHECK(registry.take_due_report(8, 400, at(61s))->streams.size() == 1);
}

TEST_CASE("No stream is joined in any order of kills, releases, store outages "
          "and lost answers",
          "[stream]")
{
    CHECK(rc::check("random runs", [] {
        constexpr int vms = 3;
        stream_fleet fleet(vms);
        std::map<std::string, stream_origin> begun;
        int oldest = 0;
        int newest = 0;
        const auto version = [](int number) {
            return origin("v" + std::to_string(number));
        };
        const auto listed = [&] {
            std::set<stream_origin> result;
            for (int number = oldest; number <= newest; ++number)
                result.insert(version(number));
            return result;
        };
        fleet.list(listed());
        const int steps = *rc::gen::inRange(20, 120);
        for (int step = 0; step < steps; ++step) {
            const int vm = *rc::gen::inRange(0, vms);
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
                newest += newest - oldest < 2 ? 1 : 0;
                fleet.list(listed());
                break;
            case 1:
                oldest += oldest < newest ? 1 : 0;
                fleet.list(listed());
                break;
            case 2: // Only one VM hears of it.
                fleet.list_at(vm, listed());
                break;
            case 3:
                fleet.restart(vm);
                break;
            case 4:
                fleet.publish(vm, false);
                break;
            case 5:
            case 6:
                fleet.publish(vm);
                break;
            case 7:
                fleet.advance(milliseconds(*rc::gen::inRange(1, 400)));
                break;
            default:
                const auto id = "s" + std::to_string(step);
                const auto at = version(*rc::gen::inRange(oldest, newest + 1));
                if (fleet.begin(vm, id, at))
                    begun.emplace(id, at);
                if (*rc::gen::inRange(0, 2) == 0)
                    fleet.break_off(vm, id);
            }
            for (const auto& [id, where] : begun) {
                const auto found = fleet.take_up(vm, id);
                RC_ASSERT(!found || *found == where);
            }
        }
    }));
}
