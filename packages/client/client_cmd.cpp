/** @file client_cmd.cpp Commands on VMs, servers and the timeline. */
#include "client/client_cmd.hpp"

#include "client/client_call_func.hpp"
#include "client/client_table_func.hpp"
#include "core/decision_core_base.hpp"

#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t us_per_second = 1'000'000;

void print(const std::string& text)
{
    std::fputs(text.c_str(), stdout);
}

std::string format_time_of_day(std::int64_t wall_us)
{
    const std::time_t seconds = wall_us / us_per_second;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%H:%M:%S", &utc);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06d",
                  static_cast<int>(wall_us % us_per_second));
    return std::string(text.data()) + fraction.data();
}

/** Queries every VM and prints the errors. @return The answers received. */
template <class Value>
std::vector<Value> query_all_vms(const client_options& options,
                                 const std::string& path)
{
    std::vector<Value> answers;
    for (const auto& vm : options.vms) {
        const auto body = call_vm(vm, options.key, "GET", path);
        if (!body) {
            print_error(body.error());
            continue;
        }
        try {
            answers.push_back(nlohmann::json::parse(*body).get<Value>());
        }
        catch (const nlohmann::json::exception& exception) {
            print_error({error_code::invalid_input, "parse answer of VM",
                         vm.address, exception.what()});
        }
    }
    return answers;
}

client_exit exit_for(bool answered)
{
    return answered ? client_exit::done : client_exit::failed;
}

} // namespace

client_exit print_error(const error& fault)
{
    std::fprintf(stderr, "rosemarydeck: %s\n", describe(fault).c_str());
    return fault.code == error_code::conflict ? client_exit::conflict
                                              : client_exit::failed;
}

client_exit run_status(const client_options& options, const command_arguments&)
{
    const auto states = query_all_vms<core_status>(options, "/operator/status");
    if (options.json) {
        print(nlohmann::json(states).dump(2) + "\n");
        return exit_for(!states.empty());
    }
    std::vector<table_row> rows;
    for (const auto& state : states)
        rows.push_back({state.self.vm.value(), state.self.data_centre.value(),
                        state.draining ? "draining" : "serving",
                        std::to_string(state.open_requests),
                        std::to_string(state.live.size()),
                        std::to_string(state.revision),
                        std::to_string(state.unflushed_bills),
                        std::to_string(state.unfinished_adoptions)});
    print(format_table({"VM", "DATA CENTRE", "STATE", "OPEN", "PEERS",
                        "REVISION", "UNSTORED BILLS", "ADOPTIONS"},
                       rows));
    return exit_for(!states.empty());
}

client_exit run_servers(const client_options& options, const command_arguments&)
{
    const auto states = query_all_vms<core_status>(options, "/operator/status");
    std::map<server_id, server_status> servers;
    for (const auto& state : states)
        for (const auto& server : state.servers) {
            auto& sum = servers[server.server];
            const auto outstanding_so_far = sum.outstanding;
            const bool leaving = sum.leaving || server.leaving;
            sum = server;
            sum.outstanding += outstanding_so_far;
            sum.leaving = leaving;
        }
    if (options.json) {
        print(nlohmann::json(servers).dump(2) + "\n");
        return exit_for(!states.empty());
    }
    std::vector<table_row> rows;
    for (const auto& [id, server] : servers)
        rows.push_back({id.value(), server.data_centre.value(),
                        server.leaving ? "leaving" : "in use",
                        std::to_string(server.outstanding),
                        std::to_string(server.slots)});
    print(format_table({"SERVER", "DATA CENTRE", "STATE", "RUNNING", "SLOTS"},
                       rows));
    return exit_for(!states.empty());
}

client_exit run_drain(const client_options& options,
                      const command_arguments& arguments)
{
    const bool is_vm = arguments.size() == 1 && arguments[0] == "vm";
    const bool is_server = arguments.size() == 2 && arguments[0] == "server";
    if (!is_vm && !is_server)
        return client_exit::usage;
    if (is_vm && options.vms.size() != 1)
        return print_error({error_code::invalid_input, "drain VM", "",
                            "name exactly one VM with --vm ADDRESS:PORT"});
    const auto path = is_vm ? std::string("/operator/drain")
                            : "/operator/drain-server/" + arguments[1];
    for (const auto& vm : options.vms) {
        const auto done = call_vm(vm, options.key, "POST", path);
        if (done) {
            print("draining\n");
            return client_exit::done;
        }
        print_error(done.error());
    }
    return client_exit::failed;
}

client_exit run_timeline(const client_options& options,
                         const command_arguments&)
{
    const auto path = "/operator/timeline?customer=" + options.customer +
                      "&key=" + options.request + "&kind=" + options.kind;
    const auto timelines =
        query_all_vms<std::vector<timeline_event>>(options, path);
    std::vector<timeline_event> events;
    for (const auto& timeline : timelines)
        events.insert(events.end(), timeline.begin(), timeline.end());
    events = merge_events(std::move(events));
    if (options.json) {
        print(nlohmann::json(events).dump(2) + "\n");
        return exit_for(!timelines.empty());
    }
    std::vector<table_row> rows;
    for (const auto& event : events)
        rows.push_back(
            {format_time_of_day(event.when.wall_us), event.vm.value(),
             nlohmann::json(event.kind).get<std::string>(),
             event.customer.value(), event.key.value(), event.detail});
    print(format_table({"TIME", "VM", "EVENT", "CUSTOMER", "REQUEST", "DETAIL"},
                       rows));
    return exit_for(!timelines.empty());
}

std::span<const client_command> client_commands()
{
    static const std::array commands{
        client_command{"plans",
                       "list | get CUSTOMER | set FILE [VERSION] | "
                       "delete CUSTOMER",
                       "show or change customers' plans", run_plans},
        client_command{"allowances",
                       "list | get CUSTOMER | set FILE [VERSION] | "
                       "delete CUSTOMER",
                       "show or change what customers may use", run_allowances},
        client_command{"topup", "CUSTOMER TOKENS",
                       "add tokens to a prepaid budget", run_topup},
        client_command{
            "spend", "[CUSTOMER]",
            "show prepaid, settled, granted, unproven and unassigned tokens",
            run_spend},
        client_command{"bills", "CUSTOMER",
                       "show a customer's bills without duplicates", run_bills},
        client_command{"release", "CUSTOMER",
                       "return unproven tokens, which a lost VM may have "
                       "spent, to the customer's budget",
                       run_release},
        client_command{"status", "", "show the state of the VMs", run_status},
        client_command{"servers", "", "show the load of the backend servers",
                       run_servers},
        client_command{"drain", "vm | server NAME",
                       "stop new requests to a VM or server; open ones finish",
                       run_drain},
        client_command{"timeline", "",
                       "show events of all VMs in order; filters: --customer, "
                       "--request, --kind",
                       run_timeline},
        client_command{"explain", "REQUEST FILE...",
                       "explain a request's outcome from VMs' log files",
                       run_explain}};
    return commands;
}

} // namespace rosemarydeck
