/** @file router_json_func.cpp JSON forms of the entries that VMs publish. */
#include "common/json_func.hpp"
#include "router/fleet_presence_base.hpp"
#include "router/stream_origin_type.hpp"
#include "router/vm_report_type.hpp"

namespace rosemarydeck
{

// Fields may be missing, so that VMs that run other versions count too.
ROSEMARYDECK_JSON_WITH_DEFAULT(vm_presence, run, beat, data_centre, address,
                               port, relay_port, cores, out_of_rotation)

void to_json(nlohmann::json& json, const engine_notice& value)
{
    json = {{"version", value.version}};
    if (value.limit_per_s)
        json["limit_per_s"] = *value.limit_per_s;
    if (value.leaving)
        json["leaving"] = true;
}

void from_json(const nlohmann::json& json, engine_notice& value)
{
    value = {};
    json.at("version").get_to(value.version);
    const auto limit = json.find("limit_per_s");
    if (limit != json.end())
        value.limit_per_s = limit->get<double>();
    value.leaving = json.value("leaving", false);
}

void to_json(nlohmann::json& json, const vm_crashes& value)
{
    json = {{"crashes", nlohmann::json::object()},
            {"cleared", nlohmann::json::object()}};
    for (const auto& [trait, engines] : value.crashes)
        for (const auto& [engine, in_doubt] : engines)
            json["crashes"][trait.value()][engine.value()] = in_doubt;
    for (const auto& [trait, engines] : value.cleared)
        json["cleared"][trait.value()] = engines;
}

void from_json(const nlohmann::json& json, vm_crashes& value)
{
    value = {};
    for (const auto& [trait, engines] : json.at("crashes").items())
        for (const auto& [engine, in_doubt] : engines.items())
            value.crashes[request_trait(trait)][server_id(engine)] =
                in_doubt.get<bool>();
    for (const auto& [trait, engines] : json.at("cleared").items())
        engines.get_to(value.cleared[request_trait(trait)]);
}

void to_json(nlohmann::json& json, const stream_report& value)
{
    std::map<stream_origin, std::vector<stream_id>> streams;
    for (const auto& origin : value.origins)
        streams[origin];
    for (const auto& [stream, origin] : value.streams)
        streams[origin].push_back(stream);
    json = {{"origins", nlohmann::json::array()}};
    for (const auto& [origin, ids] : streams)
        json["origins"].push_back({{"service", origin.service},
                                   {"software", origin.software},
                                   {"streams", ids}});
}

void from_json(const nlohmann::json& json, stream_report& value)
{
    value = {};
    for (const auto& one : json.at("origins")) {
        const stream_origin origin{one.at("service").get<service_id>(),
                                   one.at("software").get<software_version>()};
        value.origins.insert(origin);
        for (const auto& id : one.at("streams"))
            value.streams.emplace(id.get<stream_id>(), origin);
    }
}

void to_json(nlohmann::json& json, const vm_report& value)
{
    json = value.crashes;
    for (const auto& [engine, notice] : value.notices)
        json["engines"][engine.value()] = notice;
}

void from_json(const nlohmann::json& json, vm_report& value)
{
    value = {json.get<vm_crashes>(), {}};
    const auto engines = json.find("engines");
    if (engines == json.end())
        return;
    for (const auto& [engine, notice] : engines->items())
        value.notices[server_id(engine)] = notice.get<engine_notice>();
}

} // namespace rosemarydeck
