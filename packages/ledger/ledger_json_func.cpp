/** @file ledger_json_func.cpp JSON conversion of this package's types. */
#include "ledger/ledger_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

namespace
{

/** Converts a map keyed by identifiers to a JSON object. */
template <class Map>
nlohmann::json object_of(const Map& map)
{
    auto object = nlohmann::json::object();
    for (const auto& [id, value] : map)
        object[id.value()] = value;
    return object;
}

/** Reverses object_of(). Throws nlohmann::json exceptions. */
template <class Map>
void read_object(const nlohmann::json& json, Map& map)
{
    map.clear();
    for (const auto& [id, value] : json.items())
        map.emplace(typename Map::key_type(id),
                    value.template get<typename Map::mapped_type>());
}

} // namespace

// Written as an array to save space: a ledger holds one share per customer and
// run.
void to_json(nlohmann::json& json, const ledger_share& value)
{
    json = {value.granted, value.spent,  value.reserved, value.burst,
            value.slope,   value.wanted, value.lent};
    if (value.rate > 0)
        json.push_back(value.rate);
}

void from_json(const nlohmann::json& json, ledger_share& value)
{
    json.at(0).get_to(value.granted);
    json.at(1).get_to(value.spent);
    json.at(2).get_to(value.reserved);
    json.at(3).get_to(value.burst);
    json.at(4).get_to(value.slope);
    json.at(5).get_to(value.wanted);
    json.at(6).get_to(value.lent);
    value.rate = json.size() > 7 ? json.at(7).get<token_count>() : 0;
}

void to_json(nlohmann::json& json, const ledger_mark& value)
{
    json = {{"turn", value.turn}, {"wall_ms", value.wall_ms}};
    if (value.age_ms > 0)
        json["age_ms"] = value.age_ms;
}

void from_json(const nlohmann::json& json, ledger_mark& value)
{
    json.at("turn").get_to(value.turn);
    json.at("wall_ms").get_to(value.wall_ms);
    value.age_ms = json.value("age_ms", std::int64_t{0});
}

void to_json(nlohmann::json& json, const ledger_member& value)
{
    json = {{"vm", value.vm},           {"beat", value.beat},
            {"turn", value.turn},       {"first_turn", value.first_turn},
            {"wall_ms", value.wall_ms}, {"boot_ms", value.boot_ms},
            {"boot", value.boot},       {"marks", value.marks},
            {"closed", value.closed}};
    if (value.age_ms > 0)
        json["age_ms"] = value.age_ms;
}

void from_json(const nlohmann::json& json, ledger_member& value)
{
    json.at("vm").get_to(value.vm);
    json.at("beat").get_to(value.beat);
    json.at("turn").get_to(value.turn);
    json.at("first_turn").get_to(value.first_turn);
    json.at("wall_ms").get_to(value.wall_ms);
    json.at("boot_ms").get_to(value.boot_ms);
    json.at("boot").get_to(value.boot);
    json.at("marks").get_to(value.marks);
    json.at("closed").get_to(value.closed);
    value.age_ms = json.value("age_ms", std::int64_t{0});
}

ROSEMARYDECK_JSON(ledger_layout, parts)

ROSEMARYDECK_JSON(ledger_demand, per_s, wall_ms)

void to_json(nlohmann::json& json, const ledger_account& value)
{
    json = {{"closed", value.closed}, {"shares", object_of(value.shares)}};
    if (value.demand != ledger_demand{})
        json["demand"] = value.demand;
}

void from_json(const nlohmann::json& json, ledger_account& value)
{
    json.at("closed").get_to(value.closed);
    value.demand = json.value("demand", ledger_demand{});
    read_object(json.at("shares"), value.shares);
}

void to_json(nlohmann::json& json, const ledger& value)
{
    json = {{"turn", value.turn},
            {"members", object_of(value.members)},
            {"accounts", object_of(value.accounts)}};
}

void from_json(const nlohmann::json& json, ledger& value)
{
    json.at("turn").get_to(value.turn);
    read_object(json.at("members"), value.members);
    read_object(json.at("accounts"), value.accounts);
}

} // namespace rosemarydeck
