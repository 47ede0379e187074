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
}

ROSEMARYDECK_JSON(ledger_mark, turn, wall_ms)
ROSEMARYDECK_JSON(ledger_member, vm, beat, turn, first_turn, wall_ms, boot_ms,
                  boot, marks, closed)

ROSEMARYDECK_JSON(ledger_layout, parts)

void to_json(nlohmann::json& json, const ledger_account& value)
{
    json = {{"closed", value.closed}, {"shares", object_of(value.shares)}};
}

void from_json(const nlohmann::json& json, ledger_account& value)
{
    json.at("closed").get_to(value.closed);
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
