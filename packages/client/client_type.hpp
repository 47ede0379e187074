/** @file client_type.hpp Options and exit codes of the operators' client. */
#pragma once

#include "common/error_type.hpp"

#include <string>
#include <vector>

namespace rosemarydeck
{

/** Address of a VM's daemon. */
struct client_vm
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const client_vm&) const = default;
};

/** Options that apply to all commands. */
struct client_options
{
    std::vector<client_vm> vms;
    std::string key;      ///< The operators' key.
    bool json = false;    ///< Print JSON instead of tables.
    std::string customer; ///< Timeline filter: customer, or empty for all.
    std::string request;  ///< Timeline filter: request key, or empty for all.
    std::string kind;     ///< Timeline filter: kind of event, or empty for all.
};

/** Exit codes of the client. */
enum class client_exit
{
    done = 0,
    failed = 1,
    usage = 2,
    conflict = 3, ///< The entry was changed by someone else meanwhile.
};

} // namespace rosemarydeck
