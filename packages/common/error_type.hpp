/** @file error_type.hpp Errors with the failed step and the peer involved. */
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace rosemarydeck
{

/** Kinds of failure. */
enum class error_code
{
    invalid_input,
    not_found,
    conflict,
    already_exists,
    unavailable,
    denied,
    exhausted,
};

/** A failure of one step. */
struct error
{
    error_code code = error_code::invalid_input;
    std::string step; ///< The operation that failed.
    std::string peer; ///< The other process in the operation, or empty.
    std::string text; ///< Description for people.

    bool operator==(const error&) const = default;
};

/** A value, or the error that prevented it. */
template <class Value>
using expected = tl::expected<Value, error>;

/** @return One line with step, peer and text. */
inline std::string describe(const error& value)
{
    std::string line = value.step;
    if (!value.peer.empty())
        line += " (" + value.peer + ")";
    return line + ": " + value.text;
}

} // namespace rosemarydeck
