/** @file json_depth_func.cpp Nesting of JSON text that is not parsed yet. */
#include "common/json_depth_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

std::size_t json_string_end(std::string_view text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at)
        if (text[at] == '\\')
            ++at;
    return std::min(at + 1, text.size());
}

bool json_nests_deeper(std::string_view text, std::size_t depth)
{
    std::size_t open = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char character = text[at];
        if (character == '"') {
            at = json_string_end(text, at);
            continue;
        }
        if ((character == '[' || character == '{') && ++open > depth)
            return true;
        if ((character == ']' || character == '}') && open > 0)
            --open;
        ++at;
    }
    return false;
}

} // namespace rosemarydeck
