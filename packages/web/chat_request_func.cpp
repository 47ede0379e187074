/** @file chat_request_func.cpp Parser of callers' requests. */
#include "web/chat_request_func.hpp"

#include "common/hash_func.hpp"
#include "common/json_depth_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

/** Deepest nesting of a request that is read. */
constexpr std::size_t max_nesting = 64;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_length = 200;
/** Bytes of the messages' JSON that the prompt's prefix hash covers. */
constexpr std::size_t hashed_prompt_bytes = 256;
constexpr token_count max_requested_output_tokens = 10'000'000;
/** Upper bound of the tokens that a chat template adds to one message. */
constexpr token_count max_template_tokens_per_message = 16;

tl::unexpected<error> invalid_request(const std::string& text)
{
    return tl::unexpected(
        error{error_code::invalid_input, "read request", "caller", text});
}

bool valid_key(const std::string& key)
{
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
               std::string_view("-_.:").find(character) !=
                   std::string_view::npos;
    };
    return key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), allowed);
}

/** Reads the headers common to chat and service requests. */
expected<void> read_headers(const http_request& request,
                            caller_request& core_request)
{
    core_request.api_key = bearer_token_of(request);
    core_request.relayed = request.find("X-Relayed") != request.end();
    const std::string key(request["Idempotency-Key"]);
    if (!valid_key(key))
        return invalid_request(
            "Idempotency-Key must have at most 200 characters, "
            "each a letter, a digit or one of -_.:");
    core_request.key = idempotency_key(key);
    const std::string priority_text(request["X-Priority"]);
    if (priority_text.empty())
        return {};
    const auto rank = priority_from(priority_text);
    if (!rank)
        return invalid_request("X-Priority must be urgent, standard or bulk");
    core_request.rank = *rank;
    return {};
}

/**
 * @return Upper bound of the prompt's tokens: the bytes of the content, since a
 *         token has at least one byte, plus the template's tokens.
 */
expected<token_count> max_prompt_tokens(const nlohmann::json& messages)
{
    token_count bound = 0;
    for (const auto& message : messages) {
        if (!message.is_object() || !message.contains("role") ||
            !message.contains("content"))
            return invalid_request(
                "each message must be an object with role and content");
        const auto& content = message["content"];
        const auto bytes = content.is_string()
                               ? content.get_ref<const std::string&>().size()
                               : content.dump().size();
        bound +=
            static_cast<token_count>(bytes) + max_template_tokens_per_message;
    }
    return bound;
}

expected<void> read_chat_fields(nlohmann::json& json, parsed_request& parsed)
{
    auto& core_request = parsed.core_request;
    core_request.target = target_id(json.value("model", std::string()));
    if (core_request.target.empty())
        return invalid_request("model is missing or empty");
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty())
        return invalid_request(
            "messages must be an array with at least one message");
    const auto bound = max_prompt_tokens(*messages);
    if (!bound)
        return tl::unexpected(bound.error());
    core_request.max_prompt_tokens = *bound;
    const auto* limit_field = json.contains("max_completion_tokens")
                                  ? "max_completion_tokens"
                                  : "max_tokens";
    core_request.max_output = json.value(limit_field, token_count{0});
    if (core_request.max_output < 0 ||
        core_request.max_output > max_requested_output_tokens)
        return invalid_request(std::string(limit_field) +
                               " must be from 0 to 10000000");
    if (json.value("n", 1) != 1)
        return invalid_request("n must be 1");
    core_request.prefix_hash =
        stable_hash(messages->dump().substr(0, hashed_prompt_bytes));
    parsed.upstream.stream = json.value("stream", false);
    if (parsed.upstream.stream)
        json["stream_options"] = {{"include_usage", true}};
    parsed.upstream.body = json.dump();
    return {};
}

expected<parsed_request> parse_chat(const http_request& request,
                                    parsed_request parsed)
{
    if (json_nests_deeper(request.body(), max_nesting))
        return invalid_request("the request body nests too deeply");
    auto json = nlohmann::json::parse(request.body(), nullptr, false);
    if (json.is_discarded() || !json.is_object())
        return invalid_request("the request body is not a JSON object");
    try {
        const auto read = read_chat_fields(json, parsed);
        if (!read)
            return tl::unexpected(read.error());
    }
    catch (const nlohmann::json::exception& fault) {
        return invalid_request(fault.what());
    }
    parsed.upstream.path = "/v1/chat/completions";
    return parsed;
}

expected<parsed_request> parse_service(const http_request& request,
                                       parsed_request parsed)
{
    const auto rest =
        std::string(request.target()).substr(services_prefix.size());
    const auto slash = rest.find('/');
    auto& core_request = parsed.core_request;
    core_request.kind = server_kind::service;
    core_request.target = target_id(rest.substr(0, slash));
    if (core_request.target.empty())
        return invalid_request(
            "the service name after /v1/services/ is missing");
    const std::string repeatable(request["X-Repeatable"]);
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return invalid_request("X-Repeatable must be yes or no");
    core_request.repeatable = repeatable == "yes";
    if (!core_request.repeatable && core_request.key.empty())
        return invalid_request(
            "Idempotency-Key is required unless X-Repeatable is yes");
    parsed.upstream.path =
        slash == std::string::npos ? "/" : rest.substr(slash);
    parsed.upstream.body = request.body();
    parsed.upstream.content_type = request[http::field::content_type];
    parsed.upstream.requires_usage = false;
    return parsed;
}

} // namespace

std::string bearer_token_of(const http_request& request)
{
    const std::string value(request[http::field::authorization]);
    if (value.rfind(bearer_prefix, 0) != 0)
        return {};
    return value.substr(bearer_prefix.size());
}

expected<parsed_request> parse_caller_request(const http_request& request)
{
    parsed_request parsed;
    const auto headers = read_headers(request, parsed.core_request);
    if (!headers)
        return tl::unexpected(headers.error());
    const std::string path(request.target());
    parsed.core_request.fingerprint = stable_hash(path + "\n" + request.body());
    parsed.upstream.method = std::string(request.method_string());
    if (path == "/v1/chat/completions")
        return parse_chat(request, std::move(parsed));
    return parse_service(request, std::move(parsed));
}

} // namespace rosemarydeck
