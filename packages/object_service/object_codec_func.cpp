/** @file object_codec_func.cpp HTTP encoding of platform calls. */
#include "object_service/object_codec_func.hpp"

#include "common/overload_func.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr unsigned status_ok = 200;

/** An error code and its HTTP status. */
struct error_status
{
    error_code code;
    unsigned status;
};

constexpr std::array error_statuses{
    error_status{error_code::invalid_input, 400},
    error_status{error_code::denied, 403},
    error_status{error_code::not_found, 404},
    error_status{error_code::already_exists, 409},
    error_status{error_code::conflict, 412},
    error_status{error_code::unavailable, 503},
};

const std::string objects_path = "/v1/objects/";
const std::string list_path = "/v1/list?prefix=";
const std::string watch_path = "/v1/watch?prefix=";

tl::unexpected<error> invalid_call(const std::string& text)
{
    return tl::unexpected(
        error{error_code::invalid_input, "read platform call", "", text});
}

/** @return The number after "name=" in a query. */
expected<std::uint64_t> query_number(const std::string& query,
                                     const std::string& name)
{
    const auto position = query.find(name + "=");
    if (position == std::string::npos)
        return invalid_call("parameter " + name + " is missing");
    std::uint64_t number = 0;
    const auto* first = query.data() + position + name.size() + 1;
    const auto* last = query.data() + query.size();
    if (std::from_chars(first, last, number).ec != std::errc())
        return invalid_call(name + " is not a number");
    return number;
}

expected<platform_request> decode_watch(const std::string& target)
{
    const auto query = target.substr(watch_path.size());
    const auto since = query_number(query, "since");
    const auto wait = query_number(query, "wait_ms");
    if (!since || !wait)
        return invalid_call(
            "a watch needs the numeric parameters since and wait_ms");
    return watch_objects{query.substr(0, query.find('&')), *since,
                         std::chrono::milliseconds(*wait)};
}

expected<platform_request> decode_object(const platform_http_request& request)
{
    const auto rest = request.target.substr(objects_path.size());
    const auto name = rest.substr(0, rest.find('?'));
    if (name.empty())
        return invalid_call("the object name after /v1/objects/ is missing");
    if (request.method == "GET")
        return get_object{name};
    if (request.method == "POST")
        return create_object{name, request.body};
    const auto version = query_number(rest, "version");
    if (!version)
        return tl::unexpected(version.error());
    if (request.method == "PUT")
        return update_object{name, *version, request.body};
    if (request.method == "DELETE")
        return delete_object{name, *version};
    return invalid_call("unknown method, expected GET, POST, PUT or DELETE");
}

} // namespace

platform_http_request encode_call(const platform_request& request)
{
    const auto versioned_path = [](const std::string& name,
                                   object_version version) {
        return objects_path + name + "?version=" + std::to_string(version);
    };
    return std::visit(
        overload{[](const get_object& call) {
                     return platform_http_request{"GET",
                                                  objects_path + call.name, ""};
                 },
                 [](const list_objects& call) {
                     return platform_http_request{"GET",
                                                  list_path + call.prefix, ""};
                 },
                 [](const create_object& call) {
                     return platform_http_request{
                         "POST", objects_path + call.name, call.value};
                 },
                 [&](const update_object& call) {
                     return platform_http_request{
                         "PUT", versioned_path(call.name, call.expected),
                         call.value};
                 },
                 [&](const delete_object& call) {
                     return platform_http_request{
                         "DELETE", versioned_path(call.name, call.expected),
                         ""};
                 },
                 [](const watch_objects& call) {
                     const auto wait =
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             call.wait);
                     return platform_http_request{
                         "GET",
                         watch_path + call.prefix +
                             "&since=" + std::to_string(call.since) +
                             "&wait_ms=" + std::to_string(wait.count()),
                         ""};
                 }},
        request);
}

expected<platform_request> decode_call(const platform_http_request& request)
{
    if (request.target.rfind(list_path, 0) == 0)
        return list_objects{request.target.substr(list_path.size())};
    if (request.target.rfind(watch_path, 0) == 0)
        return decode_watch(request.target);
    if (request.target.rfind(objects_path, 0) == 0)
        return decode_object(request);
    return invalid_call("unknown path, expected /v1/objects/NAME, "
                        "/v1/list?prefix= or /v1/watch?prefix=");
}

unsigned status_of(const platform_result& result)
{
    if (result)
        return status_ok;
    for (const auto& entry : error_statuses)
        if (entry.code == result.error().code)
            return entry.status;
    return 503;
}

std::string encode_result(const platform_result& result)
{
    if (result)
        return nlohmann::json(*result).dump();
    return nlohmann::json{{"error", result.error().text}}.dump();
}

platform_result decode_result(unsigned status, const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    error fault{error_code::unavailable, "platform call", "platform",
                "HTTP status " + std::to_string(status)};
    if (status == status_ok && !json.is_discarded()) {
        try {
            return json.get<platform_reply>();
        }
        catch (const nlohmann::json::exception& mismatch) {
            fault.text = mismatch.what();
        }
    }
    for (const auto& entry : error_statuses)
        if (entry.status == status)
            fault.code = entry.code;
    return tl::unexpected(fault);
}

} // namespace rosemarydeck
