/** @file fault_injection.cpp Simulated fleet under random faults. */
#include "fault_injection.hpp"

#include <algorithm>
#include <sstream>

namespace rosemarydeck::simulation
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t percent = 100;

std::string customer_name(std::size_t index)
{
    return "c" + std::to_string(index);
}

/** One run: sends random requests, injects random faults and counts. */
class fault_injection_run
{
public:
    explicit fault_injection_run(const fault_injection_options& options)
        : options_(options), simulation_(options.seed)
    {
        simulation_.faults = options.faults;
        for (std::size_t index = 0; index < options.customers; ++index) {
            simulation_.add_customer(customer_name(index), options.prepaid);
            prepaid_[customer_name(index)] = options.prepaid;
        }
        for (std::size_t dc = 0; dc < options.data_centres; ++dc) {
            const auto name = "dc" + std::to_string(dc);
            simulation_.add_server("e" + std::to_string(dc), name, 200, "chat");
            simulation_.add_server("o" + std::to_string(dc), name, 200,
                                   "orders", server_kind::service);
        }
        for (std::size_t dc = 0; dc < options.data_centres; ++dc)
            for (std::size_t each = 0; each < options.vms_per_data_centre;
                 ++each) {
                vm_at_place_.push_back(simulation_.add_vm(
                    vm_name(dc, each), "dc" + std::to_string(dc)));
                dc_of_place_.push_back(dc);
            }
        simulation_.run_for(seconds(3));
    }

    fault_injection_report run()
    {
        auto next_fault = simulation_.now() + options_.fault_interval;
        const auto until = simulation_.now() + options_.simulated_time;
        const auto started = simulation_.now();
        while (simulation_.now() < until) {
            send_random_request();
            if (simulation_.now() >= next_fault) {
                inject_random_fault();
                next_fault =
                    simulation_.now() + options_.fault_interval / 2 +
                    duration(simulation_.random(static_cast<std::uint64_t>(
                        options_.fault_interval.count())));
            }
            simulation_.run_for(options_.request_interval);
            restart_drained();
        }
        heal_all_faults();
        // Lets late writes, renewals and adoptions end.
        for (int round = 0; round < 9; ++round) {
            simulation_.run_for(seconds(10));
            restart_drained();
        }
        const auto span =
            std::chrono::duration<double>(simulation_.now() - started).count();
        auto report = make_report();
        report.writes_per_second =
            static_cast<double>(simulation_.platform_writes()) / span;
        report.reads_per_second =
            static_cast<double>(simulation_.platform_reads()) / span;
        return report;
    }

private:
    static std::string vm_name(std::size_t dc, std::size_t each)
    {
        return "d" + std::to_string(dc) + "v" + std::to_string(each);
    }

    std::size_t random_place()
    {
        return simulation_.random(vm_at_place_.size());
    }

    void send_random_request()
    {
        const auto customer =
            customer_name(simulation_.random(options_.customers));
        const bool order = simulation_.random(percent) <
                           static_cast<std::uint64_t>(options_.orders_percent);
        const auto place = random_place();
        const bool retry =
            !sent_requests_.empty() && simulation_.random(percent) < 25;
        if (retry) {
            const auto& old =
                sent_requests_[simulation_.random(sent_requests_.size())];
            const auto other = random_place();
            if (options_.retries_across_data_centres ||
                dc_of_place_[other] == old.dc)
                send(other, old.customer, old.key, old.order);
            return;
        }
        const auto key = "k" + std::to_string(++last_key_);
        send(place, customer, key, order);
        sent_requests_.push_back({customer, key, order, dc_of_place_[place]});
    }

    void send(std::size_t place, const std::string& customer,
              const std::string& key, bool order)
    {
        const auto vm = vm_at_place_[place];
        if (simulation_.vms()[vm].alive)
            simulation_.submit(vm, customer, key, 60, !order);
    }

    void inject_random_fault()
    {
        switch (simulation_.random(7)) {
        case 0:
            return kill_random_vm();
        case 1:
            return restart_last_killed_vm();
        case 2:
            return pause_random_vm();
        case 3:
            return cut_random_links();
        case 4:
            return heal_links();
        case 5:
            if (options_.platform_outages)
                simulation_.platform_down = !simulation_.platform_down;
            return;
        default:
            if (options_.top_up_customers)
                top_up();
        }
    }

    void top_up()
    {
        const auto name = customer_name(simulation_.random(options_.customers));
        simulation_.top_up(name, options_.prepaid / 4);
        prepaid_[name] += options_.prepaid / 4;
    }

    void kill_random_vm()
    {
        const auto place = random_place();
        const bool allowed =
            options_.kill_vms &&
            (options_.overlapping_kills || dead_places_.empty()) &&
            simulation_.vms()[vm_at_place_[place]].alive;
        if (!allowed)
            return;
        simulation_.kill(vm_at_place_[place]);
        dead_places_.push_back(place);
        last_kill_at_ = simulation_.now();
    }

    void restart_last_killed_vm()
    {
        if (dead_places_.empty())
            return;
        const auto place = dead_places_.back();
        const auto dc = dc_of_place_[place];
        const auto name = simulation_.vms()[vm_at_place_[place]].name.value();
        vm_at_place_[place] =
            simulation_.add_vm(name, "dc" + std::to_string(dc));
        dead_places_.pop_back();
        // Lets the lost VM's grants be adopted before the next kill.
        simulation_.run_for(seconds(5));
    }

    /** Restarts VMs that have shut down because they were sealed as lost. */
    void restart_drained()
    {
        for (std::size_t place = 0; place < vm_at_place_.size(); ++place) {
            auto& vm = simulation_.vms()[vm_at_place_[place]];
            if (!vm.alive || !vm.drained)
                continue;
            const auto name = vm.name.value();
            simulation_.kill(vm_at_place_[place]);
            vm_at_place_[place] = simulation_.add_vm(
                name, "dc" + std::to_string(dc_of_place_[place]));
        }
    }

    void pause_random_vm()
    {
        if (!options_.pause_vms)
            return;
        const auto vm = vm_at_place_[random_place()];
        if (!simulation_.vms()[vm].alive || simulation_.vms()[vm].paused)
            return;
        simulation_.pause(vm);
        simulation_.run_for(milliseconds(100 + simulation_.random(6000)));
        simulation_.resume(vm);
    }

    void cut_random_links()
    {
        if (!options_.cut_links)
            return;
        for (std::size_t left = 0; left < vm_at_place_.size(); ++left)
            for (std::size_t right = left + 1; right < vm_at_place_.size();
                 ++right)
                if (simulation_.random(3) == 0)
                    simulation_.set_link(vm_at_place_[left],
                                         vm_at_place_[right], false);
        for (const auto vm : vm_at_place_)
            simulation_.vms()[vm].platform_cut = simulation_.random(4) == 0;
    }

    void heal_links()
    {
        for (std::size_t left = 0; left < simulation_.vms().size(); ++left)
            for (std::size_t right = left + 1; right < simulation_.vms().size();
                 ++right)
                simulation_.set_link(left, right, true);
        for (auto& vm : simulation_.vms())
            vm.platform_cut = false;
    }

    void heal_all_faults()
    {
        simulation_.platform_down = false;
        simulation_.faults = {};
        heal_links();
        while (!dead_places_.empty())
            restart_last_killed_vm();
    }

    fault_injection_report make_report()
    {
        fault_injection_report report;
        std::map<customer_id, std::map<idempotency_key, token_count>> billed;
        std::map<customer_key, int> counts;
        for (const auto& each : simulation_.bills()) {
            counts[{each.customer, each.key}] += each.reversal ? -1 : 1;
            billed[each.customer][each.key] += each.net();
        }
        for (const auto& [key, count] : counts) {
            report.doubled_bills += count > 1 ? 1 : 0;
            report.lost_bills += count < 1 ? 1 : 0;
        }
        for (std::size_t index = 0; index < options_.customers; ++index)
            check_account(customer_name(index), billed, report);
        check_requests(billed, report);
        return report;
    }

    void check_account(
        const std::string& name,
        const std::map<customer_id, std::map<idempotency_key, token_count>>&
            billed,
        fault_injection_report& report)
    {
        const auto value = simulation_.account_of(name);
        token_count sum = 0;
        const auto found = billed.find(customer_id(name));
        if (found != billed.end())
            for (const auto& [key, net] : found->second)
                sum += net;
        token_count granted = 0;
        for (const auto& grant : value.grants)
            granted += grant.amount;
        const auto prepaid = prepaid_.at(name);
        report.overspent += std::max<token_count>(sum - prepaid, 0);
        report.overspent += std::max<token_count>(
            value.settled + granted + value.unproven - prepaid, 0);
        report.held += granted;
        report.unproven += value.unproven;
        report.unbooked += std::abs(sum - value.settled);
    }

    void check_requests(
        const std::map<customer_id, std::map<idempotency_key, token_count>>&
            billed,
        fault_injection_report& report)
    {
        const auto is_billed = [&](const caller_record& caller) {
            const auto found = billed.find(caller.customer);
            return found != billed.end() &&
                   found->second.find(caller.key) != found->second.end();
        };
        for (const auto& caller : simulation_.callers()) {
            if (caller.finished) {
                ++report.finished;
                const bool alone = caller.finished_alone &&
                                   !simulation_.vms()[caller.vm].alive;
                const bool lost = !is_billed(caller);
                report.lost_bills += lost && !alone ? 1 : 0;
                report.lost_alone += lost && alone ? 1 : 0;
            }
            else if (caller.refused)
                count_refusal(caller, report);
            else if (!caller.joined && !caller.relayed &&
                     simulation_.vms()[caller.vm].alive)
                ++report.unanswered;
        }
        for (const auto& [key, run] : simulation_.runs()) {
            const auto order = std::find_if(
                sent_requests_.begin(), sent_requests_.end(),
                [&](const auto& one) { return one.key == key.key.value(); });
            if (order != sent_requests_.end() && order->order &&
                run.started > 1)
                ++report.double_orders;
        }
    }

    void count_refusal(const caller_record& caller,
                       fault_injection_report& report)
    {
        ++report.refused;
        const bool says_no = caller.refused->ran == ran_state::no;
        report.false_no += says_no && caller.dispatched ? 1 : 0;
        const auto reason = caller.refused->reason;
        const bool budget = reason == refusal_reason::budget_exhausted ||
                            reason == refusal_reason::budget_unavailable;
        if (!budget)
            return;
        const auto value = simulation_.account_of(caller.customer.value());
        // A request reserves up to 110 tokens, 50 of them for the prompt.
        if (prepaid_.at(caller.customer.value()) - value.settled > 110)
            ++report.false_refusals;
    }

    struct sent_request
    {
        std::string customer;
        std::string key;
        bool order = false;
        std::size_t dc = 0;
    };

    fault_injection_options options_;
    fleet_simulation simulation_;
    std::map<std::string, token_count> prepaid_;
    /** Number in vms() of the VM at each place; a restart changes it. */
    std::vector<std::size_t> vm_at_place_;
    std::vector<std::size_t> dc_of_place_; ///< Data centre of each place.
    std::vector<std::size_t> dead_places_; ///< Places of killed VMs.
    time_point last_kill_at_;
    std::vector<sent_request> sent_requests_;
    std::uint64_t last_key_ = 0;
};

} // namespace

std::string fault_injection_report::text() const
{
    std::ostringstream out;
    out << "overspent: " << overspent << "\ndoubled_bills: " << doubled_bills
        << "\nlost_bills: " << lost_bills << "\nlost_alone: " << lost_alone
        << "\ndouble_orders: " << double_orders << "\nfalse_no: " << false_no
        << "\nfinished: " << finished << "\nrefused: " << refused
        << "\nfalse_refusals: " << false_refusals
        << "\nunanswered: " << unanswered << "\nheld: " << held
        << "\nunproven: " << unproven << "\nunbooked: " << unbooked
        << "\nwrites_per_second: " << writes_per_second
        << "\nreads_per_second: " << reads_per_second << "\n";
    return out.str();
}

fault_injection_report
run_fault_injection(const fault_injection_options& options)
{
    return fault_injection_run(options).run();
}

} // namespace rosemarydeck::simulation
