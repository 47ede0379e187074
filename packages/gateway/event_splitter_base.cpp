/** @file event_splitter_base.cpp Cuts an event stream into whole events. */
#include "gateway/event_splitter_base.hpp"

#include <charconv>
#include <string_view>

namespace rosemarydeck
{

namespace
{

std::optional<std::uint64_t> id_in(std::string_view event)
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
        const auto read =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (read.ec == std::errc() && read.ptr == line.data() + line.size())
            return id;
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::vector<stream_event> event_splitter::feed(const std::string& bytes)
{
    std::vector<stream_event> events;
    // An end may lie across the old and the new bytes.
    auto from = rest_.empty() ? 0 : rest_.size() - 1;
    rest_ += bytes;
    std::size_t begun = 0;
    while (true) {
        const auto end = rest_.find("\n\n", from);
        if (end == std::string::npos)
            break;
        stream_event event{rest_.substr(begun, end + 2 - begun), {}};
        event.id = id_in(event.bytes);
        events.push_back(std::move(event));
        begun = end + 2;
        from = begun;
    }
    rest_.erase(0, begun);
    return events;
}

} // namespace rosemarydeck
