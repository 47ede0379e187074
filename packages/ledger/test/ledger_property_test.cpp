/** @file ledger_property_test.cpp No budget is overspent, whatever fails. */
#include "ledger/ledger_writer_base.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace rosemarydeck;
using namespace std::chrono_literals;

namespace
{

const customer_id acme("acme");

/** A store that loses answers, does writes late and gives old reads. */
class faulty_store
{
public:
    struct version
    {
        std::uint64_t revision = 0;
        std::optional<ledger> value;
    };

    bool write(const ledger_write& order)
    {
        if (order.condition != newest().revision)
            return false;
        versions_.push_back({newest().revision + 1, order.next});
        return true;
    }
    [[nodiscard]] const version& newest() const { return versions_.back(); }
    [[nodiscard]] const version& older(std::size_t back) const
    {
        return versions_[versions_.size() - 1 -
                         std::min(back, versions_.size() - 1)];
    }
    void delay(ledger_write order) { late_.push_back(std::move(order)); }
    void do_late()
    {
        for (const auto& order : std::exchange(late_, {}))
            write(order);
    }

private:
    std::vector<version> versions_{{}};
    std::vector<ledger_write> late_;
};

/** One VM whose process is killed and started again. */
struct vm_process
{
    std::string name;
    int runs = 0;
    std::int64_t boot_offset = 0;
    std::int64_t wall_offset = 0;
    std::unique_ptr<wallet> local_wallet;
    std::unique_ptr<ledger_writer> keeper;
    token_count in_flight = 0;
    bool cut = false; ///< Reaches no store; its clients go on.
};

/** A fleet under random faults; adds up what was really spent. */
class scene
{
public:
    explicit scene(std::uint32_t seed, int vms) : random_(seed)
    {
        for (int at = 0; at < vms; ++at) {
            auto& vm = vms_.emplace_back();
            vm.name = std::string(1, static_cast<char>('a' + at));
            start(vm);
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            now_ += milliseconds(pick(400));
            if (pick(25) == 0)
                cut_some();
            act(vms_[pick(vms_.size())]);
            if (pick(12) == 0)
                store_.do_late();
            if (pick(60) == 0)
                prepaid_ += static_cast<token_count>(pick(40'000));
            RC_ASSERT(spent_ + in_flight() <= prepaid_);
        }
    }

    [[nodiscard]] token_count spent() const { return spent_; }

private:
    using milliseconds = std::chrono::milliseconds;

    std::size_t pick(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          below - 1)(random_);
    }

    [[nodiscard]] token_count in_flight() const
    {
        token_count sum = 0;
        for (const auto& vm : vms_)
            sum += vm.in_flight;
        return sum;
    }

    clock_reading clock(const vm_process& vm) const
    {
        const auto ms = now_.count();
        return {time_point(now_), 1'000'000'000 + ms + vm.wall_offset,
                ms + vm.boot_offset};
    }

    void cut_some()
    {
        const bool cut = pick(2) == 0;
        for (auto& vm : vms_)
            vm.cut = cut && pick(4) != 0;
    }

    void start(vm_process& vm)
    {
        // What was in flight may have been delivered in full.
        spent_ += std::exchange(vm.in_flight, 0);
        ledger_writer_options options;
        options.self = instance_id(vm.name + "." + std::to_string(++vm.runs));
        options.member.vm = vm_id(vm.name);
        options.member.boot = vm.name + std::to_string(vm.boot_offset);
        options.liveness_timeout = 20s;
        vm.local_wallet = std::make_unique<wallet>();
        vm.keeper = std::make_unique<ledger_writer>(options, *vm.local_wallet);
    }

    void act(vm_process& vm)
    {
        switch (pick(16)) {
        case 0:
            if (pick(4) == 0) // Loses power: its clock starts anew.
                vm.boot_offset += 1'000'000 + static_cast<int>(pick(9'999));
            if (pick(3) == 0)
                start(vm);
            break;
        case 1:
            if (pick(3) == 0) // A few clocks are off for a while.
                vms_[0].wall_offset = static_cast<int>(pick(6'000)) - 3'000;
            break;
        case 2:
        case 3:
        case 4:
        case 5:
            renew(vm);
            break;
        case 6:
            settle(vm);
            break;
        case 7:
            if (pick(8) == 0 && vm.in_flight == 0)
                close(vm);
            break;
        default:
            for (auto count = pick(6); count > 0; --count)
                reserve(vm);
        }
    }

    void reserve(vm_process& vm)
    {
        const auto tokens = static_cast<token_count>(1 + pick(9'000));
        if (pick(5) == 0) { // For another VM, which may use it all.
            spent_ +=
                vm.local_wallet->lend(acme, tokens, 2 * tokens, clock(vm).now);
            return;
        }
        if (vm.local_wallet->reserve(acme, tokens, clock(vm).now))
            vm.in_flight += tokens;
    }

    void settle(vm_process& vm)
    {
        if (vm.in_flight == 0)
            return;
        const auto used = static_cast<token_count>(
            pick(static_cast<std::size_t>(vm.in_flight) + 1));
        vm.local_wallet->settle(acme, vm.in_flight, used);
        spent_ += used;
        vm.in_flight = 0;
    }

    void read(vm_process& vm)
    {
        const auto& seen = store_.older(pick(3) == 0 ? pick(4) : 0);
        vm.keeper->refreshed(seen.value, seen.revision, clock(vm).now);
    }

    void renew(vm_process& vm)
    {
        if (vm.cut)
            return;
        if (!vm.keeper->fresh() || pick(2) == 0)
            read(vm);
        send(vm, vm.keeper->prepare({{acme, prepaid_}}, clock(vm)));
    }

    void close(vm_process& vm)
    {
        if (vm.cut)
            return;
        if (!vm.keeper->fresh())
            read(vm);
        send(vm, vm.keeper->prepare_close(clock(vm)));
        start(vm);
    }

    void send(vm_process& vm, const ledger_write& order)
    {
        switch (pick(6)) {
        case 0: // Lost before it was done; perhaps done later.
            if (pick(2) == 0)
                store_.delay(order);
            vm.keeper->unanswered();
            return;
        case 1: // Done, and the answer lost.
            store_.write(order);
            vm.keeper->unanswered();
            return;
        default:
            if (store_.write(order))
                vm.keeper->written(store_.newest().revision, clock(vm).now);
            else
                vm.keeper->refreshed(store_.newest().value,
                                     store_.newest().revision, clock(vm).now);
        }
    }

    std::mt19937 random_;
    faulty_store store_;
    std::vector<vm_process> vms_;
    milliseconds now_{0};
    token_count prepaid_ = 100'000;
    token_count spent_ = 0;
};

} // namespace

TEST_CASE("No budget is overspent under kills, power loss and a faulty store",
          "[property]")
{
    CHECK(rc::check("overspend", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto vms = *rc::gen::inRange(1, 7);
        scene one(seed, vms);
        one.run(400);
        RC_CLASSIFY(one.spent() > 50'000, "half of the budget is used");
    }));
}
