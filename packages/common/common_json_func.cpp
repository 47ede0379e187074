/** @file common_json_func.cpp JSON conversion of the types in common. */
#include "common/priority_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON_ENUM(priority, {{priority::urgent, "urgent"},
                                  {priority::standard, "standard"},
                                  {priority::bulk, "bulk"}})

} // namespace rosemarydeck
