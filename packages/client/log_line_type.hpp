/** @file log_line_type.hpp One structured log line of a VM. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarydeck
{

/** A line of name=value fields, as VMs write it. */
struct log_line
{
    std::int64_t time_ms = 0; ///< Unix time.
    std::string vm;
    std::string event;
    std::map<std::string, std::string> fields; ///< All others.
    std::string text;                          ///< As it was read.

    bool operator==(const log_line&) const = default;

    /** @return A field's value, or empty. */
    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/** @return The line, or none if it is no such line. What stands before the
 *  field t is ignored. */
std::optional<log_line> parse_log_line(const std::string& text);

} // namespace rosemarydeck
