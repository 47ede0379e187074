/** @file json_depth_func.hpp Nesting of JSON text that is not parsed yet. */
#pragma once

#include <cstddef>
#include <string_view>

namespace rosemarydeck
{

/** @return Position after the string that begins at a quote. */
std::size_t json_string_end(std::string_view text, std::size_t at);

/** The library writes nested values by recursion, which a deep one would drive
 *  beyond a fiber's stack.
 *  @return True if arrays and objects nest deeper than @p depth levels. */
bool json_nests_deeper(std::string_view text, std::size_t depth);

} // namespace rosemarydeck
