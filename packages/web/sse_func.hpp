/** @file sse_func.hpp Server-sent events of chat answers. */
#pragma once

#include "request/bill_type.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarydeck
{

/** What one event of a chat stream is. */
struct chat_event
{
    std::string raw; ///< With its closing blank line.
    std::string id;  ///< Identity of the stream, if the event bears one.
    token_count tokens = 0;
    std::optional<token_usage> usage;
    bool done = false;
    bool malformed = false;
};

/** Cuts a byte stream into events, whatever its pieces. */
class sse_splitter
{
public:
    /** @param bytes The next piece. @return Events that are now whole. */
    std::vector<chat_event> feed(std::string_view bytes);

private:
    std::string rest_;
};

/** @param text A JSON object with a usage member. @return The usage. */
std::optional<token_usage> usage_in(const std::string& text);

} // namespace rosemarydeck
