/** @file client_main.cpp Command line of the operators' client. */
#include "client/client_cmd.hpp"

#include <cstdio>
#include <cstdlib>
#include <popt.h>
#include <sstream>

namespace
{

using namespace rosemarydeck;

std::string help_text()
{
    std::string text = "[OPTION...] COMMAND\n\nCommands:\n";
    for (const auto& command : client_commands())
        text += "  " + std::string(command.name) + " " +
                std::string(command.arguments) + "\n      " +
                std::string(command.help) + "\n";
    text += "\nThe operators' key is read from the environment variable "
            "ROSEMARYDECK_KEY.\n"
            "Exit codes: 0 done, 1 failed, 2 invalid usage, 3 conflict: "
            "another writer changed the entry; repeat the command.\n";
    return text;
}

bool parse_vms(const char* text, std::vector<client_vm>& output)
{
    std::istringstream list(text == nullptr ? "127.0.0.1:8080" : text);
    for (std::string item; std::getline(list, item, ',');) {
        const auto colon = item.rfind(':');
        if (colon == std::string::npos)
            return false;
        const auto port = std::strtoul(item.c_str() + colon + 1, nullptr, 10);
        if (port == 0 || port > 65535)
            return false;
        output.push_back(
            {item.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    return !output.empty();
}

client_exit run_command(const client_options& options, const std::string& name,
                        const command_arguments& arguments)
{
    for (const auto& command : client_commands()) {
        if (command.name != name)
            continue;
        const auto result = command.run(options, arguments);
        if (result == client_exit::usage)
            std::fprintf(stderr, "usage: rosemarydeck %s %s\n", name.c_str(),
                         std::string(command.arguments).c_str());
        return result;
    }
    std::fprintf(stderr,
                 "rosemarydeck: unknown command; --help lists the commands\n");
    return client_exit::usage;
}

std::string text_or_empty(const char* value)
{
    return value == nullptr ? std::string() : value;
}

} // namespace

int main(int argc, const char** argv)
{
    char* vms = nullptr;
    char* customer = nullptr;
    char* request = nullptr;
    char* kind = nullptr;
    int json = 0;
    const poptOption options[] = {
        {"vm", 0, POPT_ARG_STRING, &vms, 0,
         "VMs to call, separated by commas; default 127.0.0.1:8080",
         "ADDRESS:PORT"},
        {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON instead of a table",
         nullptr},
        {"customer", 0, POPT_ARG_STRING, &customer, 0,
         "timeline: show only events of this customer", "CUSTOMER"},
        {"request", 0, POPT_ARG_STRING, &request, 0,
         "timeline: show only events of this request key", "KEY"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0,
         "timeline: show only events of this kind", "EVENT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const auto help = help_text();
    poptContext context =
        poptGetContext("rosemarydeck", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, help.c_str());
    const int parsed = poptGetNextOpt(context);
    client_options chosen;
    const bool valid = parsed >= -1 && parse_vms(vms, chosen.vms);
    const char* name = poptGetArg(context);
    if (!valid || name == nullptr) {
        if (parsed < -1)
            std::fprintf(stderr, "rosemarydeck: %s\n", poptStrerror(parsed));
        std::fputs(("usage: rosemarydeck " + help).c_str(), stderr);
        return static_cast<int>(client_exit::usage);
    }
    const char* key = std::getenv("ROSEMARYDECK_KEY");
    chosen.key = text_or_empty(key);
    chosen.json = json != 0;
    chosen.customer = text_or_empty(customer);
    chosen.request = text_or_empty(request);
    chosen.kind = text_or_empty(kind);
    command_arguments arguments;
    while (const char* argument = poptGetArg(context))
        arguments.emplace_back(argument);
    return static_cast<int>(run_command(chosen, name, arguments));
}
