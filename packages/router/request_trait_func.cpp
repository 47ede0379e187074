/** @file request_trait_func.cpp What requests that crash engines have in
 * common.
 */
#include "router/request_trait_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace rosemarydeck
{

namespace
{

std::string hash_text(const std::string& text)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(stable_hash(text)));
    return digits.data();
}

} // namespace

request_trait fingerprint_of(const std::string& method,
                             const std::string& target,
                             const std::string& caller, const std::string& body)
{
    // The first three contain no line breaks, so the joined text is
    // unambiguous.
    return request_trait(
        hash_text(method + '\n' + target + '\n' + caller + '\n' + body));
}

request_trait trait_of_part(const prompt_part& part)
{
    // Hashed, since a client may send ids of any length.
    return request_trait("p" + hash_text(part.id));
}

bool is_part(const request_trait& trait)
{
    return !trait.empty() && trait.value().front() == 'p';
}

std::vector<request_trait> traits_of(const request_head& head,
                                     const std::string& body)
{
    std::vector<request_trait> traits{
        fingerprint_of(head.method, head.target, head.key, body)};
    for (std::size_t at = 0; at + 1 < head.prompt.size(); ++at)
        traits.push_back(trait_of_part(head.prompt[at]));
    return traits;
}

const trait_combination*
find_combination(const std::vector<request_trait>& traits,
                 const std::vector<trait_combination>& combinations)
{
    const auto has = [&](const request_trait& trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    };
    const auto found = std::find_if(
        combinations.begin(), combinations.end(), [&](const auto& one) {
            return std::all_of(one.begin(), one.end(), has);
        });
    return found == combinations.end() ? nullptr : &*found;
}

} // namespace rosemarydeck
