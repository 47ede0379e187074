/** @file settings_table.hpp The table of all settings. */
#pragma once

#include "settings/settings_type.hpp"

#include <span>
#include <string_view>
#include <variant>

namespace rosemarydeck
{

/** The member of settings that holds a value. */
using setting_member =
    std::variant<std::int64_t settings::*, std::string settings::*>;

/** Description of one setting. */
struct setting_row
{
    std::string_view section;
    std::string_view name;
    setting_member member;
    std::string_view unit; ///< Unit of a number; empty for text.
    std::string_view default_value;
    std::int64_t min_value = 0; ///< Smallest valid number; unused for text.
    std::int64_t max_value = 0; ///< Largest valid number; unused for text.
    bool required = false;      ///< Text that must not be empty.
    std::string_view help; ///< Printed as a comment into the settings file.
};

/** @return All settings in the order in which they are printed. */
std::span<const setting_row> settings_table();

} // namespace rosemarydeck
