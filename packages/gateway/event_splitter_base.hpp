/** @file event_splitter_base.hpp Splitter of server-sent event streams. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** One server-sent event. */
struct stream_event
{
    std::string bytes; ///< As received, with the closing blank line.
    /** Value of the id line; absent if there is none or it is no number. */
    std::optional<std::uint64_t> id;

    bool operator==(const stream_event&) const = default;
};

/** Splits a stream that arrives in pieces into whole events. */
class event_splitter
{
public:
    /** @param bytes Next piece of the stream.
     *  @return Events that this piece completes. */
    std::vector<stream_event> feed(const std::string& bytes);
    /** @return True if the stream so far ends within an event. */
    [[nodiscard]] bool inside_event() const { return !pending_.empty(); }
    /** @return Bytes of the incomplete event. */
    [[nodiscard]] std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::string pending_; ///< Bytes of the incomplete event.
};

} // namespace rosemarydeck
