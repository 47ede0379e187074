/** @file log_line_func.cpp Parser of the VMs' structured log lines. */
#include "client/log_line_type.hpp"

#include <charconv>

namespace rosemarydeck
{

namespace
{

/** Parses a plain or quoted value and moves the position behind it. */
std::string parse_value(const std::string& text, std::size_t& position)
{
    std::string value;
    if (position >= text.size() || text[position] != '"') {
        while (position < text.size() && text[position] != ' ')
            value += text[position++];
        return value;
    }
    for (++position; position < text.size() && text[position] != '"';
         ++position) {
        if (text[position] == '\\' && position + 1 < text.size())
            ++position;
        value += text[position];
    }
    ++position;
    return value;
}

} // namespace

std::optional<log_line> parse_log_line(const std::string& text)
{
    auto position = text.rfind("t=", 0) == 0 ? 0 : text.find(" t=");
    if (position == std::string::npos)
        return std::nullopt;
    log_line line;
    line.text = text;
    while (position < text.size()) {
        if (text[position] == ' ') {
            ++position;
            continue;
        }
        const auto equals = text.find('=', position);
        if (equals == std::string::npos)
            break;
        const auto name = text.substr(position, equals - position);
        position = equals + 1;
        line.fields[name] = parse_value(text, position);
    }
    const auto time = line.field("t");
    const auto parsed =
        std::from_chars(time.data(), time.data() + time.size(), line.time_ms);
    if (parsed.ec != std::errc() || !line.fields.count("event"))
        return std::nullopt;
    line.vm = line.field("vm");
    line.event = line.field("event");
    for (const auto* name : {"t", "vm", "event"})
        line.fields.erase(name);
    return line;
}

} // namespace rosemarydeck
