/** @file json_type.hpp Declares JSON forms without the library's weight. */
#pragma once

#include <nlohmann/json_fwd.hpp>

/** Declares the JSON form of a type; see json_func.hpp for its definition. */
#define ROSEMARYDECK_JSON_DECLARE(Type)                                        \
    void to_json(nlohmann::json& json, const Type& value);                     \
    void from_json(const nlohmann::json& json, Type& value)
