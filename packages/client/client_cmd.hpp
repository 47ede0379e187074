/** @file client_cmd.hpp The client's commands, one function each. */
#pragma once

#include "client/client_type.hpp"

#include <span>
#include <string_view>

namespace rosemarydeck
{

/** Words behind a command's name. */
using command_words = std::vector<std::string>;

/** A command with its help. */
struct client_command
{
    std::string_view name;
    std::string_view words; ///< Shown behind the name.
    std::string_view help;
    client_exit (*run)(const client_options&, const command_words&);
};

/** @return All commands in the order of the help. */
std::span<const client_command> client_commands();

/** Lists, shows or changes plans. */
client_exit run_plans(const client_options&, const command_words&);
/** Lists, shows or changes allowances. */
client_exit run_allowances(const client_options&, const command_words&);
/** Adds to a customer's prepaid tokens. */
client_exit run_topup(const client_options&, const command_words&);
/** Returns a customer's unproven tokens. */
client_exit run_release(const client_options&, const command_words&);
/** Shows what customers have spent and hold. */
client_exit run_spend(const client_options&, const command_words&);
/** Shows a customer's bills. */
client_exit run_bills(const client_options&, const command_words&);
/** Shows the VMs. */
client_exit run_status(const client_options&, const command_words&);
/** Shows the backend servers. */
client_exit run_servers(const client_options&, const command_words&);
/** Drains a VM or a backend server. */
client_exit run_drain(const client_options&, const command_words&);
/** Prints the merged time line. */
client_exit run_timeline(const client_options&, const command_words&);

/** Tells a request's story from VMs' log files. */
client_exit run_explain(const client_options&, const command_words&);

/** Prints an error and what to do about it. @return The exit code. */
client_exit report(const error& fault);

} // namespace rosemarydeck
