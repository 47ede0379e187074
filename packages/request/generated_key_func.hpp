/** @file generated_key_func.hpp Idempotency keys for requests without one. */
#pragma once

#include "common/id_type.hpp"

namespace rosemarydeck
{

/** First character and separator of generated keys. Clients' keys can't
 *  contain it. */
inline constexpr char generated_key_marker = '~';

/** @param instance The instance that received the request.
 *  @param number Distinguishes the requests of the instance.
 *  @return A unique key, which no client can use for a retry. */
inline idempotency_key make_generated_key(const instance_id& instance,
                                          std::uint64_t number)
{
    return idempotency_key(generated_key_marker + instance.value() +
                           generated_key_marker + std::to_string(number));
}

/** @return True if the key was generated, so no client can retry with it. */
inline bool is_generated_key(const idempotency_key& key)
{
    return !key.empty() && key.value().front() == generated_key_marker;
}

} // namespace rosemarydeck
