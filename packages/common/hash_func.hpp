/** @file hash_func.hpp Hashes that give the same value on every VM. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarydeck
{

/** @param value A number. @return The number with its bits well mixed. */
std::uint64_t mix_bits(std::uint64_t value);

/** @param text Any bytes. @return A 64-bit hash, equal on every VM. */
std::uint64_t stable_hash(std::string_view text);

/**
 * Ranks candidates for a key by highest random weight, so that a candidate's
 * departure moves only its own keys.
 * @param key What is to be placed.
 * @param candidates Names to choose from.
 * @return Indices into @p candidates, best first.
 */
std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 const std::vector<std::string>& candidates);

} // namespace rosemarydeck
