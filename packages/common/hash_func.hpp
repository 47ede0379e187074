/** @file hash_func.hpp Hashes that give the same value on every VM. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarydeck
{

/** @return The value after MurmurHash3's bijective 64-bit finalizer, for use as
 *  a hash. */
std::uint64_t mix_bits(std::uint64_t value);

/** @param text Any bytes.
 *  @return A 64-bit hash (FNV-1a, then mix_bits) that is the same on every VM.
 */
std::uint64_t stable_hash(std::string_view text);

/**
 * Ranks candidates for a key by rendezvous hashing (highest random weight):
 * when a candidate leaves, only the keys that it held move.
 * @param key Name of what is to be placed.
 * @param candidates Names of the places.
 * @return Indices into @p candidates, best first.
 */
std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 const std::vector<std::string>& candidates);

} // namespace rosemarydeck
