/** @file object_json_func.cpp JSON conversion of the object service's types. */
#include "object_service/object_call_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(platform_object, name, version, value, deleted)

ROSEMARYDECK_JSON(platform_reply, revision, objects)

} // namespace rosemarydeck
