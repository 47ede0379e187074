/** @file config_check_func.hpp Parsing and validation of configuration. */
#pragma once

#include "common/error_type.hpp"
#include "config/config_type.hpp"

namespace rosemarydeck
{

/** @return The plan in a JSON text, or invalid_input with all its faults. */
expected<customer_plan> parse_plan(const std::string& text);
/** @return The allowance in a JSON text, or invalid_input with all its
 *  faults. */
expected<allowance> parse_allowance(const std::string& text);
/** @return The server in a JSON text, or invalid_input with all its faults. */
expected<server_entry> parse_server(const std::string& text);
/** @return The VM in a JSON text, or invalid_input with all its faults. */
expected<vm_entry> parse_vm(const std::string& text);

} // namespace rosemarydeck
