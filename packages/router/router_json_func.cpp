/** @file router_json_func.cpp JSON forms of the entries that VMs publish. */
#include "common/json_func.hpp"
#include "router/crash_record_base.hpp"
#include "router/fleet_presence_base.hpp"

namespace rosemarydeck
{

// Fields may be missing, so that VMs that run other versions count too.
ROSEMARYDECK_JSON_WITH_DEFAULT(vm_presence, run, beat, data_centre, address,
                               port, cores, out_of_rotation)

void to_json(nlohmann::json& json, const vm_crashes& value)
{
    json = nlohmann::json::object();
    for (const auto& [request, engines] : value.requests)
        json[request.value()] = engines;
}

void from_json(const nlohmann::json& json, vm_crashes& value)
{
    value.requests.clear();
    for (const auto& [request, engines] : json.items())
        engines.get_to(value.requests[request_fingerprint(request)]);
}

} // namespace rosemarydeck
