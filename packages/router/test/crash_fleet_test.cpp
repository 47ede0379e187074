/** @file crash_fleet_test.cpp Search for a crashing prompt part by many VMs
 * that read each other's crashes late. */
#include "router/crash_record_base.hpp"
#include "router/request_trait_func.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

/** Which of the other parts a request with the crashing part has. */
enum class companions
{
    varying_first,  ///< The crashing part comes second.
    varying_second, ///< The crashing part comes first.
    fixed,          ///< Always the same first part, which sound ones share.
    turned,         ///< A part of sound requests starts to crash engines.
};

struct fleet_options
{
    int vms = 8;
    int engines = 12;
    double sound_per_s = 60;
    double bad_per_s = 1.2;
    companions kind = companions::varying_first;
    unsigned seed = 1;
    bool restarts = false;
    bool mass_crash = false; ///< All engines go down once before.
};

constexpr auto contact_time = 3s;
constexpr auto write_pause = contact_time / 6;
constexpr auto read_pause = contact_time * 9 / 20;
constexpr auto step = 10ms;
constexpr auto bad_from = 10s;
constexpr auto end_of_run = 45s;

struct open_request
{
    std::size_t vm = 0;
    bool bad = false;
    std::vector<request_trait> traits;
    time_point sent{}, began{}, ends{};
};

/** The VMs' records, the entries that they exchange, and engines. */
class crash_fleet
{
public:
    explicit crash_fleet(fleet_options options)
        : options_(options), random_(options.seed),
          vms_(static_cast<std::size_t>(options.vms)),
          engines_(static_cast<std::size_t>(options.engines))
    {
    }

    void run()
    {
        for (now_ = {}; now_ < time_point(end_of_run); now_ += step) {
            if (options_.mass_crash && now_ == time_point(4s))
                for (auto& engine : engines_)
                    crash(engine);
            send_some(false, options_.sound_per_s);
            if (now_ >= time_point(bad_from))
                send_some(true, options_.bad_per_s);
            end_requests();
            for (std::size_t vm = 0; vm < vms_.size(); ++vm)
                exchange_reports(vm);
            if (options_.restarts && now_ >= time_point(12s) &&
                chance(0.5 * 0.01))
                restart(any(vms_.size()));
        }
    }

    int reached_late = 0;       ///< Bad ones, later than allowed.
    int sound_late = 0;         ///< Sound ones with the same first part.
    int sound_late_refused = 0; ///< Of them.
    int crashes = 0;

private:
    struct vm_state
    {
        crash_record record;
        bool dirty = false;
        time_point next_write{}, next_read{}, next_update{};
        std::uint64_t seen = 0; ///< Revision of the last read.
    };

    struct engine_state
    {
        int incarnation = 0;
        time_point up_at{};
        std::vector<open_request> open;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }
    duration between(duration from, duration to)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(
            from.count(), to.count())(random_));
    }
    request_head head(bool bad)
    {
        const auto part = [](const std::string& name) {
            return prompt_part{name, 100};
        };
        auto first = part("first" + std::to_string(any(8)));
        auto second = part("second" + std::to_string(any(116)));
        const bool turned = options_.kind == companions::turned;
        const auto bad_part = part(turned ? "second7" : "bad");
        if (bad && options_.kind == companions::varying_second)
            first = bad_part;
        else if (bad)
            second = bad_part;
        else if (turned && second == bad_part && now_ >= time_point(bad_from))
            second = part("second8");
        if (bad && options_.kind == companions::fixed)
            first = part("first0");
        request_head made;
        made.prompt = {first, second, part("last")};
        return made;
    }

    void send_some(bool bad, double per_s)
    {
        const double expected = per_s * 0.01;
        for (int count = static_cast<int>(expected) +
                         (chance(expected - std::floor(expected)) ? 1 : 0);
             count > 0; --count)
            send(bad);
    }

    void send(bool bad)
    {
        open_request request;
        request.vm = any(vms_.size());
        request.bad = bad;
        // Some of the requests are repeats of the one before.
        if (!bad || last_bad_.traits.empty() || !chance(0.3))
            request.traits =
                traits_of(head(bad), std::to_string(++request_count_));
        else
            request.traits = last_bad_.traits;
        if (bad)
            last_bad_ = request;
        auto& vm = vms_[request.vm];
        const bool late = fifth_crash_ && now_ > *fifth_crash_ + contact_time;
        const bool refused =
            find_combination(request.traits, vm.record.blocked()) != nullptr;
        if (!bad && fifth_crash_ && now_ > *fifth_crash_ + 2 * contact_time) {
            ++sound_late;
            sound_late_refused += refused ? 1 : 0;
        }
        if (refused)
            return vm.record.record_refused(request.traits, now_);
        std::vector<engine_state*> up;
        for (auto& engine : engines_)
            if (engine.up_at <= now_)
                up.push_back(&engine);
        if (up.empty())
            return;
        reached_late += bad && late ? 1 : 0;
        request.sent = now_;
        request.began = now_ + between(50ms, 150ms);
        request.ends =
            request.began + (bad ? between(20ms, 200ms) : between(100ms, 3s));
        up[any(up.size())]->open.push_back(std::move(request));
    }

    void served(const open_request& request)
    {
        auto& vm = vms_[request.vm];
        vm.dirty |=
            vm.record.record_served(request.traits, request.began, now_);
    }

    void crash(engine_state& engine)
    {
        const server_id name("e" + std::to_string(&engine - engines_.data()) +
                             "@" + std::to_string(engine.incarnation++));
        const auto open = std::exchange(engine.open, {});
        engine.up_at = now_ + between(2s, 4s);
        for (const auto& request : open) {
            if (request.began + 1s < now_) {
                served(request);
                continue;
            }
            auto& vm = vms_[request.vm];
            vm.record.record_crash({request.traits, name, request.sent}, now_);
            vm.record.update(now_);
            vm.dirty = true;
        }
    }

    void end_requests()
    {
        for (auto& engine : engines_) {
            const bool crashes_now = std::any_of(
                engine.open.begin(), engine.open.end(),
                [&](const auto& one) { return one.bad && one.ends <= now_; });
            if (crashes_now) {
                if (++crashes == 5)
                    fifth_crash_ = now_;
                crash(engine);
                continue;
            }
            for (const auto& one : engine.open)
                if (one.ends <= now_)
                    served(one);
            std::erase_if(engine.open,
                          [&](const auto& one) { return one.ends <= now_; });
        }
    }

    void exchange_reports(std::size_t number)
    {
        auto& vm = vms_[number];
        if (vm.dirty && vm.next_write <= now_) {
            vm.record.update(now_);
            store_[number] = {++revision_, vm.record.own()};
            vm.record.mark_published();
            vm.dirty = false;
            vm.next_write = now_ + write_pause;
        }
        if (vm.next_read <= now_ && vm.seen < revision_)
            read(number);
        if (vm.next_update <= now_) {
            vm.record.update(now_);
            vm.next_update = now_ + 200ms;
        }
    }

    void read(std::size_t number)
    {
        auto& vm = vms_[number];
        for (const auto& [other, entry] : store_)
            if (entry.first > vm.seen && other != number)
                vm.dirty |= vm.record.replace_peer_crashes(
                    vm_id(std::to_string(other)), entry.second, now_);
        vm.record.update(now_);
        vm.seen = revision_;
        vm.next_read = now_ + read_pause;
    }

    void restart(std::size_t number)
    {
        vms_[number] = vm_state();
        vms_[number].record.restore_own(store_[number].second, now_);
        read(number);
        for (auto& engine : engines_)
            std::erase_if(engine.open, [&](const auto& one) {
                return one.vm == number && !one.bad;
            });
    }

    fleet_options options_;
    std::mt19937 random_;
    time_point now_{};
    std::vector<vm_state> vms_;
    std::vector<engine_state> engines_;
    std::map<std::size_t, std::pair<std::uint64_t, vm_crashes>> store_;
    std::uint64_t revision_ = 0;
    std::uint64_t request_count_ = 0;
    std::optional<time_point> fifth_crash_;
    open_request last_bad_;
};

void check_fleet(const fleet_options& options)
{
    crash_fleet fleet(options);
    fleet.run();
    INFO(options.vms << " VMs, " << options.bad_per_s
                     << " bad requests/s, seed " << options.seed << ", "
                     << fleet.crashes << " crashes, "
                     << fleet.sound_late_refused << " of " << fleet.sound_late
                     << " sound requests refused");
    CHECK(fleet.reached_late <= 3);
    CHECK(fleet.sound_late_refused * 2 <= fleet.sound_late);
}

/** Runs fleets of several sizes and loads. */
void check_fleets(fleet_options options)
{
    for (const auto vms : {1, 3, 8})
        for (const auto bad_per_s : {0.7, 1.2, 4.0, 15.0})
            for (unsigned seed = 1; seed <= 3; ++seed) {
                options.vms = vms;
                options.bad_per_s = bad_per_s;
                options.seed = seed;
                check_fleet(options);
            }
    options.vms = 61;
    options.engines = 90;
    options.sound_per_s = 300;
    options.bad_per_s = 4;
    check_fleet(options);
}

} // namespace

TEST_CASE("A crashing part after varying first parts is blocked in time",
          "[crash]")
{
    check_fleets({.kind = companions::varying_first});
}

TEST_CASE("A crashing first part is blocked in time", "[crash]")
{
    check_fleets({.kind = companions::varying_second});
}

TEST_CASE("A crashing part that always comes with a sound one is blocked",
          "[crash]")
{
    check_fleets({.kind = companions::fixed});
}

TEST_CASE("A part that was sound before is blocked once it crashes engines",
          "[crash]")
{
    check_fleets({.kind = companions::turned});
}

TEST_CASE("A crashing part is blocked while VMs restart", "[crash]")
{
    check_fleets({.restarts = true});
}

TEST_CASE("A crashing part is told from an outage of all engines", "[crash]")
{
    check_fleets({.mass_crash = true});
}
