/** @file settings_base.hpp Reads, checks and prints settings. */
#pragma once

#include "common/error_type.hpp"
#include "settings/settings_type.hpp"

#include <string>
#include <vector>

namespace rosemarydeck
{

/** One fault in a settings file. */
struct setting_fault
{
    std::size_t line = 0; ///< 0 when the fault has no line, as a missing key.
    std::string text;

    bool operator==(const setting_fault&) const = default;
};

/** The settings, or every fault found at once. */
using parsed_settings = tl::expected<settings, std::vector<setting_fault>>;

/** @return Settings with every default. */
settings default_settings();

/**
 * Reads settings from INI text.
 * @param text The whole file.
 * @return The settings, or all faults in the order of their lines.
 */
parsed_settings parse_settings(const std::string& text);

/**
 * Reads settings from an INI file.
 * @param path Where the file is.
 * @return The settings, or all faults; an unreadable file is one fault.
 */
parsed_settings load_settings(const std::string& path);

/** @param values Settings. @return An INI file with a comment for each. */
std::string print_settings(const settings& values);

} // namespace rosemarydeck
