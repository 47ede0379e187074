/** @file hash_func.cpp Hashes that give the same value on every VM. */
#include "common/hash_func.hpp"

#include <algorithm>
#include <numeric>

namespace rosemarydeck
{

std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;
    std::uint64_t hash = fnv_offset;
    for (const char letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= fnv_prime;
    }
    return mix_bits(hash);
}

std::vector<std::size_t>
rendezvous_order(std::string_view key,
                 const std::vector<std::string>& candidates)
{
    const auto key_hash = stable_hash(key);
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const auto& candidate : candidates)
        weights.push_back(mix_bits(key_hash ^ stable_hash(candidate)));
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
        if (weights[left] != weights[right])
            return weights[left] > weights[right];
        return candidates[left] < candidates[right];
    });
    return order;
}

} // namespace rosemarydeck
