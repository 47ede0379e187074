/** @file fault_injection.cpp Random faults over a bag of cores, and the books
 * after. */
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

/** One scene: sends requests and brings about faults by a seed. */
class scene
{
public:
    explicit scene(const fault_injection_options& options)
        : options_(options), bag_(options.seed)
    {
        bag_.faults = options.faults;
        for (std::size_t index = 0; index < options.customers; ++index) {
            bag_.add_customer(customer_name(index), options.prepaid);
            prepaid_[customer_name(index)] = options.prepaid;
        }
        for (std::size_t dc = 0; dc < options.data_centres; ++dc) {
            const auto name = "dc" + std::to_string(dc);
            bag_.add_server("e" + std::to_string(dc), name, 200, "chat");
            bag_.add_server("o" + std::to_string(dc), name, 200, "orders",
                            server_kind::service);
        }
        for (std::size_t dc = 0; dc < options.data_centres; ++dc)
            for (std::size_t each = 0; each < options.vms_per_data_centre;
                 ++each) {
                current_.push_back(
                    bag_.add_vm(vm_name(dc, each), "dc" + std::to_string(dc)));
                dc_of_.push_back(dc);
            }
        bag_.run_for(seconds(3));
    }

    fault_injection_report run()
    {
        auto next_fault = bag_.now() + options_.fault_interval;
        const auto until = bag_.now() + options_.length;
        const auto started = bag_.now();
        while (bag_.now() < until) {
            send_one();
            if (bag_.now() >= next_fault) {
                fault();
                next_fault = bag_.now() + options_.fault_interval / 2 +
                             duration(bag_.random(static_cast<std::uint64_t>(
                                 options_.fault_interval.count())));
            }
            bag_.run_for(options_.request_interval);
            restart_drained();
        }
        heal_all();
        for (int round = 0; round < 9; ++round) {
            bag_.run_for(seconds(10));
            restart_drained();
        }
        const auto span =
            std::chrono::duration<double>(bag_.now() - started).count();
        auto report = close_books();
        report.writes_per_second =
            static_cast<double>(bag_.platform_writes()) / span;
        report.reads_per_second =
            static_cast<double>(bag_.platform_reads()) / span;
        return report;
    }

private:
    static std::string vm_name(std::size_t dc, std::size_t each)
    {
        return "d" + std::to_string(dc) + "v" + std::to_string(each);
    }

    std::size_t any_vm() { return bag_.random(current_.size()); }

    void send_one()
    {
        const auto customer = customer_name(bag_.random(options_.customers));
        const bool order = bag_.random(percent) <
                           static_cast<std::uint64_t>(options_.orders_percent);
        const auto place = any_vm();
        const bool retry = !sent_.empty() && bag_.random(percent) < 25;
        if (retry) {
            const auto& old = sent_[bag_.random(sent_.size())];
            const auto other = any_vm();
            if (options_.retries_across_data_centres || dc_of_[other] == old.dc)
                send(other, old.customer, old.key, old.order);
            return;
        }
        const auto key = "k" + std::to_string(++last_key_);
        send(place, customer, key, order);
        sent_.push_back({customer, key, order, dc_of_[place]});
    }

    void send(std::size_t place, const std::string& customer,
              const std::string& key, bool order)
    {
        const auto vm = current_[place];
        if (bag_.vms()[vm].alive)
            bag_.submit(vm, customer, key, 60, !order);
    }

    void fault()
    {
        switch (bag_.random(7)) {
        case 0:
            return kill_one();
        case 1:
            return restart_one();
        case 2:
            return pause_one();
        case 3:
            return cut_some();
        case 4:
            return heal_cuts();
        case 5:
            if (options_.outages)
                bag_.platform_down = !bag_.platform_down;
            return;
        default:
            if (options_.top_ups)
                top_up();
        }
    }

    void top_up()
    {
        const auto name = customer_name(bag_.random(options_.customers));
        bag_.top_up(name, options_.prepaid / 4);
        prepaid_[name] += options_.prepaid / 4;
    }

    void kill_one()
    {
        const auto place = any_vm();
        const bool allowed = options_.kills &&
                             (options_.overlapping_kills || dead_.empty()) &&
                             bag_.vms()[current_[place]].alive;
        if (!allowed)
            return;
        bag_.kill(current_[place]);
        dead_.push_back(place);
        dead_since_ = bag_.now();
    }

    void restart_one()
    {
        if (dead_.empty())
            return;
        const auto place = dead_.back();
        const auto dc = dc_of_[place];
        const auto name = bag_.vms()[current_[place]].name.value();
        current_[place] = bag_.add_vm(name, "dc" + std::to_string(dc));
        dead_.pop_back();
        // A loss is healed when its grants are adopted.
        bag_.run_for(seconds(5));
    }

    /** A VM that was taken for gone has ended itself; its next run starts. */
    void restart_drained()
    {
        for (std::size_t place = 0; place < current_.size(); ++place) {
            auto& vm = bag_.vms()[current_[place]];
            if (!vm.alive || !vm.drained)
                continue;
            const auto name = vm.name.value();
            bag_.kill(current_[place]);
            current_[place] =
                bag_.add_vm(name, "dc" + std::to_string(dc_of_[place]));
        }
    }

    void pause_one()
    {
        if (!options_.pauses)
            return;
        const auto vm = current_[any_vm()];
        if (!bag_.vms()[vm].alive || bag_.vms()[vm].paused)
            return;
        bag_.pause(vm);
        bag_.run_for(milliseconds(100 + bag_.random(6000)));
        bag_.resume(vm);
    }

    void cut_some()
    {
        if (!options_.cuts)
            return;
        for (std::size_t left = 0; left < current_.size(); ++left)
            for (std::size_t right = left + 1; right < current_.size(); ++right)
                if (bag_.random(3) == 0)
                    bag_.set_link(current_[left], current_[right], false);
        for (const auto vm : current_)
            bag_.vms()[vm].platform_cut = bag_.random(4) == 0;
    }

    void heal_cuts()
    {
        for (std::size_t left = 0; left < bag_.vms().size(); ++left)
            for (std::size_t right = left + 1; right < bag_.vms().size();
                 ++right)
                bag_.set_link(left, right, true);
        for (auto& vm : bag_.vms())
            vm.platform_cut = false;
    }

    void heal_all()
    {
        bag_.platform_down = false;
        bag_.faults = {};
        heal_cuts();
        while (!dead_.empty())
            restart_one();
    }

    fault_injection_report close_books()
    {
        fault_injection_report report;
        std::map<customer_id, std::map<idempotency_key, token_count>> billed;
        std::map<customer_key, int> counts;
        for (const auto& each : bag_.bills()) {
            counts[{each.customer, each.key}] += each.reversal ? -1 : 1;
            billed[each.customer][each.key] += each.net();
        }
        for (const auto& [key, count] : counts) {
            report.doubled_bills += count > 1 ? 1 : 0;
            report.lost_bills += count < 1 ? 1 : 0;
        }
        for (std::size_t index = 0; index < options_.customers; ++index)
            close_account(customer_name(index), billed, report);
        close_requests(billed, report);
        return report;
    }

    void close_account(
        const std::string& name,
        const std::map<customer_id, std::map<idempotency_key, token_count>>&
            billed,
        fault_injection_report& report)
    {
        const auto value = bag_.account_of(name);
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

    void close_requests(
        const std::map<customer_id, std::map<idempotency_key, token_count>>&
            billed,
        fault_injection_report& report)
    {
        const auto is_billed = [&](const caller_record& caller) {
            const auto found = billed.find(caller.customer);
            return found != billed.end() &&
                   found->second.find(caller.key) != found->second.end();
        };
        for (const auto& caller : bag_.callers()) {
            if (caller.finished) {
                ++report.finished;
                const bool alone = caller.alone && !bag_.vms()[caller.vm].alive;
                const bool lost = !is_billed(caller);
                report.lost_bills += lost && !alone ? 1 : 0;
                report.lost_alone += lost && alone ? 1 : 0;
            }
            else if (caller.refused)
                count_refusal(caller, report);
            else if (!caller.joined && !caller.relayed &&
                     bag_.vms()[caller.vm].alive)
                ++report.unanswered;
        }
        for (const auto& [key, run] : bag_.runs()) {
            const auto order =
                std::find_if(sent_.begin(), sent_.end(), [&](const auto& one) {
                    return one.key == key.key.value();
                });
            if (order != sent_.end() && order->order && run.begun > 1)
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
        const auto value = bag_.account_of(caller.customer.value());
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
    fleet_simulation bag_;
    std::map<std::string, token_count> prepaid_;
    std::vector<std::size_t> current_; ///< VM number at each place.
    std::vector<std::size_t> dc_of_;
    std::vector<std::size_t> dead_; ///< Places.
    time_point dead_since_;
    std::vector<sent_request> sent_;
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
    return scene(options).run();
}

} // namespace rosemarydeck::simulation
