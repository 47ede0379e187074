/** @file client_cmd.cpp Commands on VMs, servers and the time line. */
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

std::string clock_text(std::int64_t wall_us)
{
    const std::time_t whole = wall_us / us_per_second;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06d",
                  static_cast<int>(wall_us % us_per_second));
    return std::string(text.data()) + fraction.data();
}

/** Asks every VM. @return What those said that answered. */
template <class Value>
std::vector<Value> ask_all(const client_options& options,
                           const std::string& path)
{
    std::vector<Value> answers;
    for (const auto& vm : options.vms) {
        const auto body = call_vm(vm, options.key, "GET", path);
        if (!body) {
            report(body.error());
            continue;
        }
        try {
            answers.push_back(nlohmann::json::parse(*body).get<Value>());
        }
        catch (const nlohmann::json::exception& fault) {
            report({error_code::invalid_input, "read answer", vm.address,
                    fault.what()});
        }
    }
    return answers;
}

client_exit exit_for(bool any)
{
    return any ? client_exit::done : client_exit::failed;
}

} // namespace

client_exit report(const error& fault)
{
    std::fprintf(stderr, "rosemarydeck: %s\n", describe(fault).c_str());
    return fault.code == error_code::conflict ? client_exit::conflict
                                              : client_exit::failed;
}

client_exit run_status(const client_options& options, const command_words&)
{
    const auto states = ask_all<core_status>(options, "/operator/status");
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

client_exit run_servers(const client_options& options, const command_words&)
{
    const auto states = ask_all<core_status>(options, "/operator/status");
    std::map<server_id, server_status> servers;
    for (const auto& state : states)
        for (const auto& server : state.servers) {
            auto& sum = servers[server.server];
            const auto before = sum.outstanding;
            const bool leaving = sum.leaving || server.leaving;
            sum = server;
            sum.outstanding += before;
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

client_exit run_drain(const client_options& options, const command_words& words)
{
    const bool is_vm = words.size() == 1 && words[0] == "vm";
    const bool is_server = words.size() == 2 && words[0] == "server";
    if (!is_vm && !is_server)
        return client_exit::usage;
    if (is_vm && options.vms.size() != 1)
        return report({error_code::invalid_input, "drain VM", "",
                       "name exactly one VM by --vm ADDRESS:PORT"});
    const auto path = is_vm ? std::string("/operator/drain")
                            : "/operator/drain-server/" + words[1];
    for (const auto& vm : options.vms) {
        const auto done = call_vm(vm, options.key, "POST", path);
        if (done) {
            print("draining\n");
            return client_exit::done;
        }
        report(done.error());
    }
    return client_exit::failed;
}

client_exit run_timeline(const client_options& options, const command_words&)
{
    const auto path = "/operator/timeline?customer=" + options.customer +
                      "&key=" + options.request + "&kind=" + options.kind;
    const auto lines = ask_all<std::vector<timeline_event>>(options, path);
    std::vector<timeline_event> events;
    for (const auto& line : lines)
        events.insert(events.end(), line.begin(), line.end());
    events = merge_events(std::move(events));
    if (options.json) {
        print(nlohmann::json(events).dump(2) + "\n");
        return exit_for(!lines.empty());
    }
    std::vector<table_row> rows;
    for (const auto& event : events)
        rows.push_back({clock_text(event.when.wall_us), event.vm.value(),
                        nlohmann::json(event.kind).get<std::string>(),
                        event.customer.value(), event.key.value(),
                        event.detail});
    print(format_table({"TIME", "VM", "EVENT", "CUSTOMER", "REQUEST", "DETAIL"},
                       rows));
    return exit_for(!lines.empty());
}

std::span<const client_command> client_commands()
{
    static const std::array commands{
        client_command{"plans",
                       "list | get CUSTOMER | set FILE [VERSION] | "
                       "delete CUSTOMER",
                       "customers' plans", run_plans},
        client_command{"allowances",
                       "list | get CUSTOMER | set FILE [VERSION] | "
                       "delete CUSTOMER",
                       "what each plan may use", run_allowances},
        client_command{"topup", "CUSTOMER TOKENS", "add to a prepaid budget",
                       run_topup},
        client_command{"spend", "[CUSTOMER]",
                       "what is settled, granted and left", run_spend},
        client_command{"bills", "CUSTOMER", "each bill, once", run_bills},
        client_command{"release", "CUSTOMER",
                       "return tokens that a lost VM may have spent",
                       run_release},
        client_command{"status", "", "the VMs", run_status},
        client_command{"servers", "", "the backend servers", run_servers},
        client_command{"drain", "vm | server NAME",
                       "let a VM or a backend server leave", run_drain},
        client_command{"timeline", "",
                       "one line of events over all VMs; see --customer, "
                       "--request, --kind",
                       run_timeline},
        client_command{"explain", "REQUEST FILE...",
                       "why a request ended as it did, from VMs' log files",
                       run_explain}};
    return commands;
}

} // namespace rosemarydeck
