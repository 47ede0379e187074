/** @file sse_func.hpp Server-sent events of chat answers. */
#pragma once

#include "request/bill_type.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarydeck
{

/** One event of a chat stream. */
struct chat_event
{
    std::string raw;        ///< Bytes of the event with its closing blank line.
    std::string id;         ///< Completion id in the event; empty if none.
    token_count tokens = 0; ///< Output tokens in the event.
    std::optional<token_usage> usage;
    bool done = false; ///< The stream's end marker, [DONE].
    bool malformed = false;
};

/** Splits a byte stream, read in pieces of any size, into events. */
class sse_splitter
{
public:
    /** @param bytes The next bytes. @return Events that they complete. */
    std::vector<chat_event> feed(std::string_view bytes);

private:
    std::string partial_event_;
};

/**
 * Reads the token usage of a chat answer.
 * @param text A JSON object with a usage member.
 * @return The usage, or nothing if it is missing or malformed.
 */
std::optional<token_usage> parse_usage(const std::string& text);

} // namespace rosemarydeck
