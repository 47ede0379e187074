/** @file caller_operator.cpp Operator requests on a caller connection. */
#include "config/config_check_func.hpp"
#include "object_service/object_codec_func.hpp"
#include "web/caller_session_base.hpp"
#include "web/reply_func.hpp"

#include <openssl/crypto.h>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

const std::string platform_path = "/operator/platform";
const std::string timeline_path = "/operator/timeline";
const std::string drain_server_path = "/operator/drain-server/";

/** Compares in constant time; an empty secret matches nothing. */
bool same_secret(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && !left.empty() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

/** @return The value of a query parameter, or an empty string. */
std::string query_value(const std::string& path, const std::string& name)
{
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto start = at + 1;
        const auto end = path.find('&', start);
        const auto pair =
            path.substr(start, end == std::string::npos ? end : end - start);
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
        at = end;
    }
    return {};
}

/** @return Why operators may not write this value, or an empty string. */
std::string value_fault(const std::string& name, const std::string& value)
{
    const auto has_prefix = [&](const std::string& prefix) {
        return name.rfind(prefix, 0) == 0;
    };
    if (has_prefix(plans_prefix)) {
        const auto plan = parse_plan(value);
        if (!plan)
            return plan.error().text;
        const bool same = plans_prefix + plan->customer.value() == name;
        return same ? "" : "the plan's customer does not match the object name";
    }
    if (has_prefix(allowances_prefix)) {
        const auto allowance = parse_allowance(value);
        if (!allowance)
            return allowance.error().text;
        const bool same =
            allowances_prefix + allowance->customer.value() == name;
        return same ? ""
                    : "the allowance's customer does not match the object name";
    }
    if (has_prefix("accounts/"))
        return "";
    return "operators may only write plans, allowances and accounts";
}

/** @return Why operators may not make this call, or an empty string. */
std::string call_fault(const platform_request& call)
{
    if (const auto* create = std::get_if<create_object>(&call))
        return value_fault(create->name, create->value);
    if (const auto* update = std::get_if<update_object>(&call))
        return value_fault(update->name, update->value);
    if (std::holds_alternative<watch_objects>(call))
        return "operators may not watch objects";
    if (const auto* removal = std::get_if<delete_object>(&call)) {
        const bool is_deletable =
            removal->name.rfind(plans_prefix, 0) == 0 ||
            removal->name.rfind(allowances_prefix, 0) == 0;
        return is_deletable ? ""
                            : "operators may only delete plans and allowances";
    }
    return "";
}

} // namespace

bool caller_session::serve_operator(const http_request& request)
{
    if (!same_secret(bearer_token_of(request), shared_.values.operator_key))
        return write(error_reply(401, "unknown_operator_key",
                                 "the operator key is missing or wrong"),
                     request);
    return write(operator_reply(request), request);
}

http_response caller_session::operator_reply(const http_request& request)
{
    const std::string path(request.target());
    const bool is_get = request.method() == http::verb::get;
    const bool is_post = request.method() == http::verb::post;
    if (path == "/operator/status" && is_get)
        return json_reply(200, shared_.control.status());
    if (path.rfind(timeline_path, 0) == 0 && is_get)
        return json_reply(200, shared_.control.timeline(
                                   {customer_id(query_value(path, "customer")),
                                    idempotency_key(query_value(path, "key")),
                                    query_value(path, "kind")}));
    if (path == "/operator/drain" && is_post) {
        shared_.control.tell(drain_self{});
        return json_reply(200, "{\"status\":\"draining\"}");
    }
    if (path.rfind(drain_server_path, 0) == 0 && is_post) {
        const auto name = path.substr(drain_server_path.size());
        shared_.control.tell(drain_server{server_id(name)});
        return json_reply(200, "{\"status\":\"leaving\"}");
    }
    if (path.rfind(platform_path + "/", 0) == 0)
        return platform_reply_for(request);
    return error_reply(404, "not_found", "unknown operator path or method");
}

http_response caller_session::platform_reply_for(const http_request& request)
{
    const std::string path(request.target());
    const auto call =
        decode_call({std::string(request.method_string()),
                     path.substr(platform_path.size()), request.body()});
    if (!call)
        return error_reply(400, "invalid_request", call.error().text);
    const auto fault = call_fault(*call);
    if (!fault.empty())
        return error_reply(400, "invalid_value", fault);
    const auto result = shared_.control.platform(*call);
    return json_reply(rosemarydeck::status_of(result), encode_result(result));
}

} // namespace rosemarydeck
