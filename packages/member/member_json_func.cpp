/** @file member_json_func.cpp JSON form of the member description. */
#include "member/member_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(member_info, instance, vm, data_centre, address, peer_port,
                  caller_port, started)

} // namespace rosemarydeck
