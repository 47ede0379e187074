/** @file permitted_region_func.cpp Regions that requests must not leave. */
#include "router/permitted_region_func.hpp"

namespace rosemarydeck
{

bool may_enter(const std::map<dc_id, region_id>& regions,
               const route_rule& route, const customer_rule* customer,
               const dc_id& data_centre)
{
    const auto found = regions.find(data_centre);
    const auto allows = [&](const std::set<region_id>& permitted) {
        return permitted.empty() ||
               (found != regions.end() && permitted.count(found->second) > 0);
    };
    return allows(route.permitted_regions) &&
           (customer == nullptr || allows(customer->permitted_regions));
}

} // namespace rosemarydeck
