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
    std::size_t line = 0; ///< From 1; 0 if there is none, as for a missing key.
    std::string text;

    bool operator==(const setting_fault&) const = default;
};

/** The settings, or all faults found. */
using parsed_settings = tl::expected<settings, std::vector<setting_fault>>;

/** @return Settings in which each value is its default. */
settings default_settings();

/**
 * Reads settings from INI text.
 * @param text The whole file.
 * @return The settings, or all faults sorted by line.
 */
parsed_settings parse_settings(const std::string& text);

/**
 * Reads settings from an INI file.
 * @param path Path of the file.
 * @return The settings, or all faults; an unreadable file is one fault.
 */
parsed_settings load_settings(const std::string& path);

/** @return The text of an INI file with a comment for each setting. */
std::string print_settings(const settings& values);

} // namespace rosemarydeck
