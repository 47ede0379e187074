/** @file event_splitter_base.cpp Splitter of server-sent event streams. */
#include "gateway/event_splitter_base.hpp"

#include <charconv>
#include <string_view>

namespace rosemarydeck
{

namespace
{

std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        std::uint64_t id = 0;
        const auto parsed =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc() && parsed.ptr == line.data() + line.size())
            return id;
        return std::nullopt;
    }
    return std::nullopt;
}

/** @return Position after the blank line that ends the first event, or npos. */
std::size_t find_event_end(const std::string& text, std::size_t from)
{
    for (auto line_end = text.find('\n', from); line_end != std::string::npos;
         line_end = text.find('\n', line_end + 1)) {
        if (text.compare(line_end + 1, 1, "\n") == 0)
            return line_end + 2;
        if (text.compare(line_end + 1, 2, "\r\n") == 0)
            return line_end + 3;
    }
    return std::string::npos;
}

} // namespace

std::vector<stream_event> event_splitter::feed(const std::string& bytes)
{
    std::vector<stream_event> events;
    // The blank line that ends an event may span the old and the new bytes.
    auto search_from = pending_.size() < 2 ? 0 : pending_.size() - 2;
    pending_ += bytes;
    std::size_t event_start = 0;
    while (true) {
        const auto end = find_event_end(pending_, search_from);
        if (end == std::string::npos)
            break;
        stream_event event{pending_.substr(event_start, end - event_start), {}};
        event.id = parse_event_id(event.bytes);
        events.push_back(std::move(event));
        event_start = end;
        search_from = event_start;
    }
    pending_.erase(0, event_start);
    return events;
}

} // namespace rosemarydeck
