/** @file log_line_func.cpp Reads the structured log lines of VMs. */
#include "client/log_line_type.hpp"

#include <charconv>

namespace rosemarydeck
{

namespace
{

/** Takes the value at a position, with or without quotes. */
std::string take_value(const std::string& text, std::size_t& at)
{
    std::string value;
    if (at >= text.size() || text[at] != '"') {
        while (at < text.size() && text[at] != ' ')
            value += text[at++];
        return value;
    }
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\' && at + 1 < text.size())
            ++at;
        value += text[at];
    }
    ++at;
    return value;
}

} // namespace

std::optional<log_line> parse_log_line(const std::string& text)
{
    auto at = text.rfind("t=", 0) == 0 ? 0 : text.find(" t=");
    if (at == std::string::npos)
        return std::nullopt;
    log_line line;
    line.text = text;
    while (at < text.size()) {
        if (text[at] == ' ') {
            ++at;
            continue;
        }
        const auto equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const auto name = text.substr(at, equals - at);
        at = equals + 1;
        line.fields[name] = take_value(text, at);
    }
    const auto time = line.field("t");
    const auto read =
        std::from_chars(time.data(), time.data() + time.size(), line.time_ms);
    if (read.ec != std::errc() || !line.fields.count("event"))
        return std::nullopt;
    line.vm = line.field("vm");
    line.event = line.field("event");
    for (const auto* name : {"t", "vm", "event"})
        line.fields.erase(name);
    return line;
}

} // namespace rosemarydeck
