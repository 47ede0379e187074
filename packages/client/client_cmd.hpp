/** @file client_cmd.hpp Commands of the operators' client. */
#pragma once

#include "client/client_type.hpp"

#include <span>
#include <string_view>

namespace rosemarydeck
{

/** Arguments after the name of a command. */
using command_arguments = std::vector<std::string>;

/** A command with its help text. */
struct client_command
{
    std::string_view name;
    std::string_view arguments; ///< Arguments as shown in the help.
    std::string_view help;
    client_exit (*run)(const client_options&, const command_arguments&);
};

/** @return All commands, in the order in which the help lists them. */
std::span<const client_command> client_commands();

/** Lists, shows, sets or deletes plans. */
client_exit run_plans(const client_options&, const command_arguments&);
/** Lists, shows, sets or deletes allowances. */
client_exit run_allowances(const client_options&, const command_arguments&);
/** Adds tokens to a customer's prepaid budget. */
client_exit run_topup(const client_options&, const command_arguments&);
/** Returns a customer's unproven tokens, which a lost VM may have spent, to
 *  the budget. */
client_exit run_release(const client_options&, const command_arguments&);
/** Shows the customers' prepaid, settled, granted, unproven and unassigned
 *  tokens. */
client_exit run_spend(const client_options&, const command_arguments&);
/** Lists a customer's bills. */
client_exit run_bills(const client_options&, const command_arguments&);
/** Shows the state of each VM. */
client_exit run_status(const client_options&, const command_arguments&);
/** Shows the state and load of the backend servers. */
client_exit run_servers(const client_options&, const command_arguments&);
/** Drains a VM or a backend server. */
client_exit run_drain(const client_options&, const command_arguments&);
/** Prints the merged timeline of all VMs. */
client_exit run_timeline(const client_options&, const command_arguments&);

/** Explains the outcome of a request from the VMs' log files. */
client_exit run_explain(const client_options&, const command_arguments&);

/** Prints an error to standard error. @return Its exit code. */
client_exit print_error(const error& fault);

} // namespace rosemarydeck
