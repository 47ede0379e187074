/** @file priority_type.hpp Priorities of requests. */
#pragma once

#include "common/json_type.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarydeck
{

/** Priority of a request, most urgent first. */
enum class priority
{
    urgent,
    standard,
    bulk,
};

inline constexpr std::size_t priority_count = 3;
inline constexpr std::array<std::string_view, priority_count> priority_names{
    "urgent", "standard", "bulk"};

/** @return The name of a priority in headers and lists. */
inline std::string_view name_of(priority value)
{
    return priority_names[static_cast<std::size_t>(value)];
}

/** @return The priority of this name, or none. */
inline std::optional<priority> priority_from(std::string_view name)
{
    for (std::size_t index = 0; index < priority_count; ++index)
        if (priority_names[index] == name)
            return static_cast<priority>(index);
    return std::nullopt;
}

ROSEMARYDECK_JSON_DECLARE(priority);

} // namespace rosemarydeck
