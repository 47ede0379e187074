/** @file log_line_type.hpp Structured log line of a VM. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarydeck
{

/** Log line of name=value fields, as VMs write it. */
struct log_line
{
    std::int64_t time_ms = 0;                  ///< Field t: Unix time in ms.
    std::string vm;                            ///< Field vm.
    std::string event;                         ///< Field event.
    std::map<std::string, std::string> fields; ///< All other fields.
    std::string text;                          ///< The line as it was read.

    bool operator==(const log_line&) const = default;

    /** @return The value of one of `fields`; empty if there is none. */
    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/** Parses a log line; text before the field t is ignored. @return The line, or
 *  nothing if it has no valid field t or no field event. */
std::optional<log_line> parse_log_line(const std::string& text);

} // namespace rosemarydeck
