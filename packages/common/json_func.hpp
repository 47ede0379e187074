/** @file json_func.hpp Macros that define JSON conversions. */
#pragma once

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

// Headers declare to_json and from_json with ROSEMARYDECK_JSON_DECLARE, which
// needs only the library's forward declarations. One source file of each
// package defines them with the macros below, so that no other file has to
// compile the library's templates.

/** Defines the JSON conversion of a struct; a missing member is an error. */
#define ROSEMARYDECK_JSON(Type, ...)                                           \
    void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t) \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                \
    }                                                                          \
    void from_json(const nlohmann::json& nlohmann_json_j,                      \
                   Type& nlohmann_json_t)                                      \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))              \
    }

/** Defines the JSON conversion of a struct; a missing member has its default.
 */
#define ROSEMARYDECK_JSON_WITH_DEFAULT(Type, ...)                              \
    void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t) \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                \
    }                                                                          \
    void from_json(const nlohmann::json& nlohmann_json_j,                      \
                   Type& nlohmann_json_t)                                      \
    {                                                                          \
        const Type nlohmann_json_default_obj{};                                \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, __VA_ARGS__)) \
    }

/** Defines the JSON conversion of an enum; an unknown name is read as the first
 *  value. */
#define ROSEMARYDECK_JSON_ENUM(Type, ...)                                      \
    static const std::pair<Type, const char*> Type##_json_names[] =            \
        __VA_ARGS__;                                                           \
    void to_json(nlohmann::json& json, const Type& value)                      \
    {                                                                          \
        const auto* found = std::find_if(                                      \
            std::begin(Type##_json_names), std::end(Type##_json_names),        \
            [&](const auto& row) { return row.first == value; });              \
        json = found == std::end(Type##_json_names) ? "" : found->second;      \
    }                                                                          \
    void from_json(const nlohmann::json& json, Type& value)                    \
    {                                                                          \
        const auto name = json.get<std::string>();                             \
        const auto* found = std::find_if(                                      \
            std::begin(Type##_json_names), std::end(Type##_json_names),        \
            [&](const auto& row) { return row.second == name; });              \
        value = found == std::end(Type##_json_names)                           \
                    ? Type##_json_names[0].first                               \
                    : found->first;                                            \
    }
