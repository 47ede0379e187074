/** @file generated_key_func.hpp Keys of requests whose callers gave none. */
#pragma once

#include "common/id_type.hpp"

namespace rosemarydeck
{

/** Starts a generated key; callers' keys can't contain it. */
inline constexpr char generated_mark = '~';

/** @return A key for a request that no retry can name. */
inline idempotency_key make_generated_key(const instance_id& instance,
                                          std::uint64_t number)
{
    return idempotency_key(generated_mark + instance.value() + generated_mark +
                           std::to_string(number));
}

/** @return True if no caller can repeat a request under this key. */
inline bool is_generated_key(const idempotency_key& key)
{
    return !key.empty() && key.value().front() == generated_mark;
}

} // namespace rosemarydeck
