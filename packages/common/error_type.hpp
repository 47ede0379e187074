/** @file error_type.hpp Errors that say at which step and peer they arose. */
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace rosemarydeck
{

/** What kind of failure an error reports. */
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

/** An error with the step that failed and the peer it failed with. */
struct error
{
    error_code code = error_code::invalid_input;
    std::string step; ///< What was being done.
    std::string peer; ///< With whom, or empty when nobody else took part.
    std::string text; ///< One sentence for a person.

    bool operator==(const error&) const = default;
};

/** A value, or the error that prevented it. */
template <class Value>
using expected = tl::expected<Value, error>;

/** @param value The error. @return One line with step, peer and text. */
inline std::string describe(const error& value)
{
    std::string line = value.step;
    if (!value.peer.empty())
        line += " (" + value.peer + ")";
    return line + ": " + value.text;
}

} // namespace rosemarydeck
