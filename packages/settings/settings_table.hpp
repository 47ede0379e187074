/** @file settings_table.hpp One row for each setting. */
#pragma once

#include "settings/settings_type.hpp"

#include <span>
#include <string_view>
#include <variant>

namespace rosemarydeck
{

/** Where a setting is kept. */
using setting_member =
    std::variant<std::int64_t settings::*, std::string settings::*>;

/** Name, place, default, range and help of one setting. */
struct setting_row
{
    std::string_view section;
    std::string_view name;
    setting_member member;
    std::string_view unit; ///< Empty for text.
    std::string_view initial;
    std::int64_t lowest = 0;  ///< Numbers only.
    std::int64_t highest = 0; ///< Numbers only.
    bool required = false;    ///< Text only: may not be empty.
    std::string_view help;
};

/** @return All settings in the order in which they are printed. */
std::span<const setting_row> settings_table();

} // namespace rosemarydeck
