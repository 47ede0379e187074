/** @file client_type.hpp What the operators' client is told and returns. */
#pragma once

#include "common/error_type.hpp"

#include <string>
#include <vector>

namespace rosemarydeck
{

/** A daemon that the client can call. */
struct client_vm
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const client_vm&) const = default;
};

/** Options that hold for all commands. */
struct client_options
{
    std::vector<client_vm> vms;
    std::string key;
    bool json = false;
    std::string customer; ///< Filter of the time line.
    std::string request;  ///< Filter of the time line.
    std::string kind;     ///< Filter of the time line.
};

/** Exit codes of the client. */
enum class client_exit
{
    done = 0,
    failed = 1,
    usage = 2,
    conflict = 3, ///< Somebody else has changed the list meanwhile.
};

} // namespace rosemarydeck
