/** @file server_selection_json_func.cpp JSON form of the load report. */
#include "server_selection/server_directory_base.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON_WITH_DEFAULT(load_report, running, waiting, slots, leaving)

} // namespace rosemarydeck
