/** @file json_type.hpp Macro that declares JSON conversions. */
#pragma once

#include <nlohmann/json_fwd.hpp>

/** Declares the JSON conversion of a type; json_func.hpp has the macros that
 *  define it. */
#define ROSEMARYDECK_JSON_DECLARE(Type)                                        \
    void to_json(nlohmann::json& json, const Type& value);                     \
    void from_json(const nlohmann::json& json, Type& value)
