/** @file core_bench.cpp Benchmarks of the decision core without I/O. */
#include "fault_injection.hpp"

#include "common/hash_func.hpp"
#include "common/overload_func.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

using namespace rosemarydeck;

namespace
{

using clock_type = std::chrono::steady_clock;

/** @return Resident memory of this process, in bytes. */
long resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    long pages = 0;
    file >> pages >> pages;
    constexpr long page_bytes = 4096;
    return pages * page_bytes;
}

/** A single core; every platform call and attempt is answered at once. */
class single_core
{
public:
    explicit single_core(std::size_t customers) : core_(make_options())
    {
        put("fleet/servers/e1", {{"server", "e1"},
                                 {"data_centre", "dc1"},
                                 {"address", "x"},
                                 {"port", 1},
                                 {"slots", 1'000'000},
                                 {"targets", {"chat"}}});
        for (std::size_t index = 0; index < customers; ++index)
            add_customer("c" + std::to_string(index));
        handle_event(clock_tick{});
    }

    /** Submits a new request of the customer with this index. */
    void request(std::size_t customer)
    {
        caller_request request;
        request.id = request_id(++last_id_);
        request.api_key = "key-c" + std::to_string(customer);
        request.fingerprint = last_id_;
        request.target = target_id("chat");
        request.max_prompt_tokens = 50;
        request.max_output = 50;
        handle_event(request);
    }

    [[nodiscard]] std::size_t events() const { return events_; }
    [[nodiscard]] std::size_t finished() const { return finished_; }
    [[nodiscard]] std::size_t open() const
    {
        return core_.status().open_requests;
    }
    /** From now on dispatched requests stay open. */
    void keep_requests_open() { keep_open_ = true; }

private:
    static core_options make_options()
    {
        core_options options;
        options.self = {
            instance_id("a.1"), vm_id("a"), dc_id("dc1"), "127.0.0.1", 1, 2, 1};
        options.solo_percent = 100;
        options.max_open_requests = 1'000'000;
        return options;
    }

    void put(const std::string& name, const nlohmann::json& value)
    {
        store_.apply(create_object{name, value.dump()});
    }

    void add_customer(const std::string& name)
    {
        put("fleet/plans/" + name, {{"customer", name},
                                    {"prepaid", 1'000'000'000},
                                    {"api_keys", {"key-" + name}}});
        put("fleet/allowances/" + name,
            {{"customer", name},
             {"targets", {"chat"}},
             {"priorities", {"standard"}},
             {"max_concurrent", 1'000'000},
             {"requests_per_minute", 1'000'000'000}});
    }

    void handle_event(core_event event)
    {
        std::deque<core_event> pending{std::move(event)};
        while (!pending.empty()) {
            now_ += std::chrono::microseconds(1);
            ++events_;
            const auto actions = core_.handle(pending.front(), now_);
            pending.pop_front();
            for (const auto& action : actions)
                execute_action(action, pending);
        }
    }

    void execute_action(const core_action& action,
                        std::deque<core_event>& pending)
    {
        if (const auto* call = std::get_if<call_platform>(&action)) {
            const auto* watch = std::get_if<watch_objects>(&call->request);
            if (watch == nullptr || watch->since == 0)
                pending.push_back(
                    platform_answered{call->call, store_.apply(call->request)});
        }
        else if (const auto* order = std::get_if<dispatch_attempt>(&action)) {
            if (keep_open_)
                return;
            pending.push_back(attempt_first_token{order->id, order->attempt});
            pending.push_back(
                attempt_finished{order->id, order->attempt, {10, 20}});
        }
        else if (std::holds_alternative<finish_request>(action))
            ++finished_;
    }

    time_point now_{std::chrono::hours(500'000)};
    object_store store_;
    decision_core core_;
    std::uint64_t last_id_ = 0;
    std::size_t events_ = 0;
    std::size_t finished_ = 0;
    bool keep_open_ = false;
};

/**
 * Speed and memory for a number of customers. Each size needs a process of its
 * own, because freed memory stays resident.
 */
void bench_core(std::size_t customers)
{
    const auto empty = resident_bytes();
    single_core core(customers);
    const auto with_customers = resident_bytes();
    constexpr std::size_t active_customers = 100;
    const auto step = customers / active_customers;
    for (std::size_t index = 0; index < active_customers; ++index)
        core.request(index * step);
    const auto events_before = core.events();
    const auto start = clock_type::now();
    constexpr std::size_t requests = 60'000;
    for (std::size_t index = 0; index < requests; ++index)
        core.request(index % active_customers * step);
    const auto elapsed_s =
        std::chrono::duration<double>(clock_type::now() - start).count();
    const auto rate =
        static_cast<double>(core.events() - events_before) / elapsed_s;
    std::printf("core_decisions_per_second_%zu: %.0f\n", customers, rate);
    std::printf("core_requests_per_second_%zu: %.0f\n", customers,
                static_cast<double>(requests) / elapsed_s);
    std::printf("core_bytes_per_idle_customer_%zu: %.0f\n", customers,
                static_cast<double>(with_customers - empty) /
                    static_cast<double>(customers));
    const auto before_open = resident_bytes();
    core.keep_requests_open();
    constexpr std::size_t open_requests_added = 20'000;
    for (std::size_t index = 0; index < open_requests_added; ++index)
        core.request(index % active_customers * step);
    std::printf("core_bytes_per_open_request_%zu: %.0f\n", customers,
                static_cast<double>(resident_bytes() - before_open) /
                    static_cast<double>(open_requests_added));
}

/** A usual fleet: 3 data centres with 3 VMs each, 10 customers. */
simulation::fault_injection_options usual_fleet(std::uint64_t seed)
{
    simulation::fault_injection_options options;
    options.seed = seed;
    options.data_centres = 3;
    options.vms_per_data_centre = 3;
    options.customers = 10;
    return options;
}

/** Budget use and false refusals in one hour of faults. */
void bench_budget(std::uint64_t seed)
{
    auto options = usual_fleet(seed);
    options.prepaid = 400'000;
    options.simulated_time = std::chrono::hours(1);
    options.request_interval = std::chrono::milliseconds(100);
    options.fault_interval = std::chrono::seconds(60);
    options.platform_outages = false;
    const auto report = simulation::run_fault_injection(options);
    std::fputs(report.text().c_str(), stdout);
    std::printf("false_refusal_share: %.4f\n",
                static_cast<double>(report.false_refusals) /
                    static_cast<double>(report.finished + report.refused));
}

/** Orders that run twice, or are reported wrongly as not run, under faults. */
void bench_at_most_once(std::uint64_t seed)
{
    auto options = usual_fleet(seed);
    options.simulated_time = std::chrono::minutes(10);
    options.orders_percent = 100;
    options.retries_across_data_centres = true;
    options.overlapping_kills = true;
    const auto report = simulation::run_fault_injection(options);
    std::printf("orders_run_twice: %zu\norders_finished: %zu\n"
                "orders_refused_share: %.3f\nfalse_no: %zu\n",
                report.double_orders, report.finished,
                static_cast<double>(report.refused) /
                    static_cast<double>(report.finished + report.refused),
                report.false_no);
}

/** Time until a changed plan is in force on all VMs. */
void bench_config(std::uint64_t seed)
{
    simulation::fleet_simulation fleet(seed);
    fleet.add_customer("acme", 1000);
    std::vector<std::size_t> vms;
    for (int dc = 0; dc < 3; ++dc)
        for (int each = 0; each < 3; ++each)
            vms.push_back(fleet.add_vm("d" + std::to_string(dc) + "v" +
                                           std::to_string(each),
                                       "dc" + std::to_string(dc)));
    fleet.run_for(std::chrono::seconds(5));
    const auto calls_before = fleet.platform_reads();
    const customer_id acme("acme");
    std::vector<double> times;
    constexpr int changes = 200;
    std::size_t reversions = 0;
    std::vector<object_version> seen_versions(vms.size(), 0);
    for (int change = 0; change < changes; ++change) {
        fleet.top_up("acme", 1);
        const auto start = fleet.now();
        std::size_t outdated = vms.size();
        object_version newest = 0;
        while (outdated > 0) {
            fleet.run_for(std::chrono::milliseconds(1));
            outdated = 0;
            for (std::size_t index = 0; index < vms.size(); ++index) {
                const auto version =
                    fleet.vms()[vms[index]].core->config().plan_version(acme);
                reversions += version < seen_versions[index] ? 1 : 0;
                seen_versions[index] = version;
                newest = std::max(newest, version);
                const auto* plan =
                    fleet.vms()[vms[index]].core->config().plan(acme);
                outdated += plan->prepaid < 1001 + change ? 1 : 0;
            }
        }
        times.push_back(
            std::chrono::duration<double, std::milli>(fleet.now() - start)
                .count());
        // The first data centre is cut off from the platform during every other
        // change.
        for (std::size_t index = 0; index < 3; ++index)
            fleet.vms()[vms[index]].platform_cut = change % 2 == 0;
        fleet.run_for(std::chrono::milliseconds(700 + fleet.random(1000)));
    }
    std::sort(times.begin(), times.end());
    std::printf("config_ms_median: %.0f\nconfig_ms_p99: %.0f\n"
                "config_ms_worst: %.0f\nconfig_reversions: %zu\n"
                "config_reads_per_change: %.2f\n",
                times[times.size() / 2], times[times.size() * 99 / 100],
                times.back(), reversions,
                static_cast<double>(fleet.platform_reads() - calls_before) /
                    changes);
}

} // namespace

int main(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const auto seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    if (name == "core")
        bench_core(seed);
    else if (name == "budget")
        bench_budget(seed);
    else if (name == "at_most_once")
        bench_at_most_once(seed);
    else if (name == "config")
        bench_config(seed);
    else if (name == "scene" && argc == 6) {
        simulation::fault_injection_options options;
        options.seed = seed;
        options.data_centres = std::strtoull(argv[3], nullptr, 10);
        options.vms_per_data_centre = std::strtoull(argv[4], nullptr, 10);
        options.prepaid = std::strtoll(argv[5], nullptr, 10);
        std::fputs(simulation::run_fault_injection(options).text().c_str(),
                   stdout);
    }
    else {
        std::fputs("usage: core_bench core CUSTOMERS\n"
                   "       core_bench budget|at_most_once|config [SEED]\n"
                   "       core_bench scene SEED CENTRES VMS PREPAID\n"
                   "VMS is the number of VMs in each data centre.\n",
                   stderr);
        return 2;
    }
    return 0;
}
