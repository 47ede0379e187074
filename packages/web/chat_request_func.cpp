/** @file chat_request_func.cpp Reads callers' requests. */
#include "web/chat_request_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t max_key_length = 200;
constexpr std::size_t prefix_length = 256;
constexpr token_count max_output_limit = 10'000'000;
/** Tokens that a chat template may add to one message. */
constexpr token_count message_overhead = 16;

tl::unexpected<error> bad(const std::string& text)
{
    return tl::unexpected(
        error{error_code::invalid_input, "read request", "caller", text});
}

bool valid_key(const std::string& key)
{
    const auto allowed = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
               std::string_view("-_.:").find(letter) != std::string_view::npos;
    };
    return key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), allowed);
}

/** Reads the headers that both kinds of request share. */
expected<void> read_headers(const http_request& request, caller_request& into)
{
    into.api_key = bearer_of(request);
    into.relayed = request.find("X-Relayed") != request.end();
    const std::string key(request["Idempotency-Key"]);
    if (!valid_key(key))
        return bad("Idempotency-Key is longer than 200 characters or has "
                   "others than letters, digits and -_.:");
    into.key = idempotency_key(key);
    const std::string rank(request["X-Priority"]);
    if (rank.empty())
        return {};
    const auto known = priority_from(rank);
    if (!known)
        return bad("X-Priority is none of urgent, standard, bulk");
    into.rank = *known;
    return {};
}

/** @return The most tokens that the messages can make: one for each byte. */
expected<token_count> max_prompt_tokens(const nlohmann::json& messages)
{
    token_count bound = 0;
    for (const auto& message : messages) {
        if (!message.is_object() || !message.contains("role") ||
            !message.contains("content"))
            return bad("each message needs role and content");
        const auto& content = message["content"];
        const auto bytes = content.is_string()
                               ? content.get_ref<const std::string&>().size()
                               : content.dump().size();
        bound += static_cast<token_count>(bytes) + message_overhead;
    }
    return bound;
}

expected<void> read_chat(nlohmann::json& json, parsed_request& into)
{
    auto& decision = into.decision;
    decision.target = target_id(json.value("model", std::string()));
    if (decision.target.empty())
        return bad("model is missing");
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty())
        return bad("messages is missing or empty");
    const auto bound = max_prompt_tokens(*messages);
    if (!bound)
        return tl::unexpected(bound.error());
    decision.max_prompt_tokens = *bound;
    const auto* limit = json.contains("max_completion_tokens")
                            ? "max_completion_tokens"
                            : "max_tokens";
    decision.max_output = json.value(limit, token_count{0});
    if (decision.max_output < 0 || decision.max_output > max_output_limit)
        return bad(std::string(limit) + " is outside 0 to 10000000");
    if (json.value("n", 1) != 1)
        return bad("n must be 1");
    decision.prefix_hash =
        stable_hash(messages->dump().substr(0, prefix_length));
    into.upstream.stream = json.value("stream", false);
    if (into.upstream.stream)
        json["stream_options"] = {{"include_usage", true}};
    into.upstream.body = json.dump();
    return {};
}

expected<parsed_request> parse_chat(const http_request& request,
                                    parsed_request parsed)
{
    auto json = nlohmann::json::parse(request.body(), nullptr, false);
    if (json.is_discarded() || !json.is_object())
        return bad("the body is no JSON object");
    try {
        const auto read = read_chat(json, parsed);
        if (!read)
            return tl::unexpected(read.error());
    }
    catch (const nlohmann::json::exception& fault) {
        return bad(fault.what());
    }
    parsed.upstream.path = "/v1/chat/completions";
    return parsed;
}

expected<parsed_request> parse_service(const http_request& request,
                                       parsed_request parsed)
{
    const auto rest =
        std::string(request.target()).substr(services_path.size());
    const auto slash = rest.find('/');
    auto& decision = parsed.decision;
    decision.kind = server_kind::service;
    decision.target = target_id(rest.substr(0, slash));
    if (decision.target.empty())
        return bad("no service named");
    const std::string repeatable(request["X-Repeatable"]);
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return bad("X-Repeatable is neither yes nor no");
    decision.repeatable = repeatable == "yes";
    if (!decision.repeatable && decision.key.empty())
        return bad("a call that may not be repeated needs Idempotency-Key");
    parsed.upstream.path =
        slash == std::string::npos ? "/" : rest.substr(slash);
    parsed.upstream.body = request.body();
    parsed.upstream.content_type = request[http::field::content_type];
    parsed.upstream.count_usage = false;
    return parsed;
}

} // namespace

std::string bearer_of(const http_request& request)
{
    const std::string value(request[http::field::authorization]);
    if (value.rfind(bearer, 0) != 0)
        return {};
    return value.substr(bearer.size());
}

expected<parsed_request> read_request(const http_request& request)
{
    parsed_request parsed;
    const auto headers = read_headers(request, parsed.decision);
    if (!headers)
        return tl::unexpected(headers.error());
    const std::string path(request.target());
    parsed.decision.fingerprint = stable_hash(path + "\n" + request.body());
    parsed.upstream.method = std::string(request.method_string());
    if (path == "/v1/chat/completions")
        return parse_chat(request, std::move(parsed));
    return parse_service(request, std::move(parsed));
}

} // namespace rosemarydeck
