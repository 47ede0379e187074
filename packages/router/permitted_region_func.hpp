/** @file permitted_region_func.hpp Regions that requests must not leave. */
#pragma once

#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/**
 * @param regions Region of each data centre; one that is missing is in none.
 * @param customer nullptr if the request has none.
 * @return True if requests of the route and the customer may be sent to the
 *         data centre. Where both name regions, both bind.
 */
bool may_enter(const std::map<dc_id, region_id>& regions,
               const route_rule& route, const customer_rule* customer,
               const dc_id& data_centre);

} // namespace rosemarydeck
