/** @file object_call_type.hpp Calls to the platform object service. */
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
 * Version of an object: the service's revision at its last write. One counter
 * covers all objects, so a later write always has a higher version.
 */
using object_version = std::uint64_t;

/** Size limit of one object's value. */
inline constexpr std::size_t max_object_bytes = 1'048'576;

/** One object of the platform object service. */
struct platform_object
{
    std::string name;
    object_version version = 0;
    std::string value;
    bool deleted = false; ///< True only in results of a watch or a deletion.

    bool operator==(const platform_object&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(platform_object);

/** Reads one object. */
struct get_object
{
    std::string name;
    bool operator==(const get_object&) const = default;
};

/** Lists all objects whose names start with `prefix`. */
struct list_objects
{
    std::string prefix;
    bool operator==(const list_objects&) const = default;
};

/** Creates an object; fails if one of this name exists. */
struct create_object
{
    std::string name;
    std::string value;
    bool operator==(const create_object&) const = default;
};

/** Replaces an object's value if its version is `expected`. */
struct update_object
{
    std::string name;
    object_version expected = 0;
    std::string value;
    bool operator==(const update_object&) const = default;
};

/** Deletes an object if its version is `expected`. */
struct delete_object
{
    std::string name;
    object_version expected = 0;
    bool operator==(const delete_object&) const = default;
};

/**
 * Returns the writes after revision `since` to objects whose names start with
 * `prefix`. If there are none, the service waits up to `wait` for one.
 */
struct watch_objects
{
    std::string prefix;
    object_version since = 0;
    duration wait{};
    bool operator==(const watch_objects&) const = default;
};

/** A call to the object service. */
using platform_request =
    std::variant<get_object, list_objects, create_object, update_object,
                 delete_object, watch_objects>;

/**
 * Objects found, or the object written (without its value), and the service's
 * revision at the reply.
 */
struct platform_reply
{
    object_version revision = 0;
    std::vector<platform_object> objects;

    bool operator==(const platform_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(platform_reply);

/**
 * Result of a call. Errors: not_found, conflict (the object has another
 * version), already_exists, invalid_input, denied, and unavailable, after which
 * a write may or may not have taken effect.
 */
using platform_result = expected<platform_reply>;

/** @return The kind of a call, as used in metrics. */
std::string kind_of(const platform_request& request);

} // namespace rosemarydeck
