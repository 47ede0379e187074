/** @file sse_func.cpp Server-sent events of chat answers. */
#include "web/sse_func.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::string_view data_field = "data: ";
constexpr std::string_view end_of_event = "\n\n";

std::optional<token_usage> read_usage(const nlohmann::json& json)
{
    const auto found = json.find("usage");
    if (found == json.end() || !found->is_object())
        return std::nullopt;
    token_usage usage;
    usage.prompt = found->value("prompt_tokens", token_count{0});
    usage.completion = found->value("completion_tokens", token_count{0});
    return usage;
}

/** @return Tokens in an event: one for each choice with content. */
token_count count_tokens(const nlohmann::json& json)
{
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array())
        return 0;
    token_count count = 0;
    for (const auto& choice : *choices) {
        const auto delta = choice.find("delta");
        if (delta == choice.end() || !delta->is_object())
            continue;
        const auto content = delta->find("content");
        const bool has_text = content != delta->end() && content->is_string() &&
                              !content->get_ref<const std::string&>().empty();
        count += has_text ? 1 : 0;
    }
    return count;
}

chat_event parse_event(std::string raw)
{
    chat_event event;
    event.raw = std::move(raw);
    const auto field = event.raw.find(data_field);
    if (field == std::string::npos)
        return event; // A keep-alive comment.
    const auto start = field + data_field.size();
    const auto text =
        event.raw.substr(start, event.raw.size() - end_of_event.size() - start);
    if (text == "[DONE]") {
        event.done = true;
        return event;
    }
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        event.malformed = true;
        return event;
    }
    try {
        event.tokens = count_tokens(json);
        event.usage = read_usage(json);
        event.id = json.value("id", std::string());
    }
    catch (const nlohmann::json::exception&) {
        event.malformed = true;
    }
    return event;
}

} // namespace

std::vector<chat_event> sse_splitter::feed(std::string_view bytes)
{
    std::vector<chat_event> events;
    partial_event_ += bytes;
    std::size_t event_start = 0;
    while (true) {
        const auto end = partial_event_.find(end_of_event, event_start);
        if (end == std::string::npos)
            break;
        const auto event_end = end + end_of_event.size();
        events.push_back(parse_event(
            partial_event_.substr(event_start, event_end - event_start)));
        event_start = event_end;
    }
    partial_event_.erase(0, event_start);
    return events;
}

std::optional<token_usage> parse_usage(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return read_usage(json);
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace rosemarydeck
