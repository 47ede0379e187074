/** @file object_json_func.cpp JSON forms of this package's types. */
#include "object_service/object_call_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(platform_object, name, version, value, deleted)

ROSEMARYDECK_JSON(platform_reply, revision, objects)

} // namespace rosemarydeck
