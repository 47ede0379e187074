/** @file reply_func.cpp HTTP answers made by the daemon itself. */
#include "web/reply_func.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

constexpr std::int64_t ms_per_second = 1000;

} // namespace

unsigned status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::unknown_api_key:
        return 401;
    case refusal_reason::budget_exhausted:
        return 402;
    case refusal_reason::target_not_allowed:
    case refusal_reason::priority_not_allowed:
        return 403;
    case refusal_reason::key_conflict:
    case refusal_reason::key_in_use:
        return 409;
    case refusal_reason::too_large:
        return 413;
    case refusal_reason::too_many_requests:
    case refusal_reason::would_be_late:
        return 429;
    case refusal_reason::server_failed:
    case refusal_reason::outcome_unknown:
        return 502;
    default:
        return 503;
    }
}

std::string refusal_body(const refuse_request& refusal)
{
    nlohmann::json error;
    error["type"] = std::string(name_of(refusal.reason));
    error["ran"] = refusal.ran == ran_state::no ? "no" : "unknown";
    if (refusal.retry_after_ms > 0)
        error["retry_after_ms"] = refusal.retry_after_ms;
    return nlohmann::json{{"error", error}}.dump();
}

http_response json_reply(unsigned status, const std::string& body)
{
    http_response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    response.prepare_payload();
    return response;
}

http_response refusal_reply(const refuse_request& refusal)
{
    auto response =
        json_reply(status_of(refusal.reason), refusal_body(refusal) + "\n");
    if (refusal.retry_after_ms > 0) {
        const auto retry_after_s =
            (refusal.retry_after_ms + ms_per_second - 1) / ms_per_second;
        response.set(http::field::retry_after, std::to_string(retry_after_s));
    }
    return response;
}

http_response error_reply(unsigned status, const std::string& reason,
                          const std::string& text)
{
    const nlohmann::json error{
        {"type", reason}, {"ran", "no"}, {"message", text}};
    return json_reply(status, nlohmann::json{{"error", error}}.dump() + "\n");
}

} // namespace rosemarydeck
