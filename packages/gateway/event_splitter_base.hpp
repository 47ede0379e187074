/** @file event_splitter_base.hpp Cuts an event stream into whole events. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** One event as it came, its closing blank line included. */
struct stream_event
{
    std::string bytes;
    std::optional<std::uint64_t> id;

    bool operator==(const stream_event&) const = default;
};

/** Collects bytes until an event is whole. */
class event_splitter
{
public:
    /** @param bytes Next of the stream. @return Events that are whole now. */
    std::vector<stream_event> feed(const std::string& bytes);
    /** @return True if an event has begun and not ended. */
    [[nodiscard]] bool inside_event() const { return !rest_.empty(); }

private:
    std::string rest_;
};

} // namespace rosemarydeck
