/** @file object_call_type.hpp Calls to the platform's object service. */
#pragma once

#include "common/error_type.hpp"
#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/time_type.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rosemarydeck
{

/**
 * Version of an object: the service's revision at its last write. It grows
 * over all objects together, so a later write always has a higher one.
 */
using object_version = std::uint64_t;

/** Largest value of one object, in bytes. */
inline constexpr std::size_t max_object_bytes = 1'048'576;

/** One object of the platform's service. */
struct platform_object
{
    std::string name;
    object_version version = 0;
    std::string value;
    bool deleted = false; ///< Only in answers to a watch.

    bool operator==(const platform_object&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(platform_object);

/** Reads one object. */
struct get_object
{
    std::string name;
    bool operator==(const get_object&) const = default;
};

/** Lists all objects whose names start with a prefix. */
struct list_objects
{
    std::string prefix;
    bool operator==(const list_objects&) const = default;
};

/** Creates an object; fails if the name is taken. */
struct create_object
{
    std::string name;
    std::string value;
    bool operator==(const create_object&) const = default;
};

/** Replaces an object's value if its version is still the expected one. */
struct update_object
{
    std::string name;
    object_version expected = 0;
    std::string value;
    bool operator==(const update_object&) const = default;
};

/** Deletes an object if its version is still the expected one. */
struct delete_object
{
    std::string name;
    object_version expected = 0;
    bool operator==(const delete_object&) const = default;
};

/** Waits for writes under a prefix that are newer than a revision. */
struct watch_objects
{
    std::string prefix;
    object_version since = 0;
    duration wait{};
    bool operator==(const watch_objects&) const = default;
};

/** Any call to the service. */
using platform_request =
    std::variant<get_object, list_objects, create_object, update_object,
                 delete_object, watch_objects>;

/** Objects found, and the service's revision when it answered. */
struct platform_reply
{
    object_version revision = 0;
    std::vector<platform_object> objects;

    bool operator==(const platform_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(platform_reply);

/**
 * The outcome of a call. Errors: not_found, conflict (the version has moved
 * on), already_exists, invalid_input, and unavailable, after which a write
 * may or may not have taken effect.
 */
using platform_result = expected<platform_reply>;

/** @param request A call. @return Its kind, as metrics name it. */
std::string kind_of(const platform_request& request);

} // namespace rosemarydeck
