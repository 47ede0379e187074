/** @file request_trait_func.hpp What requests that crash engines have in
 * common.
 */
#pragma once

#include "router/request_type.hpp"

namespace rosemarydeck
{

/** Hashes what identifies a request.
 *  @param target Path with query.
 *  @param caller Customer or API key.
 *  @return 16 hexadecimal digits. */
request_trait fingerprint_of(const std::string& method,
                             const std::string& target,
                             const std::string& caller,
                             const std::string& body);

/** @return The trait of all requests whose prompts contain a part: "p" and 16
 *  hexadecimal digits. */
request_trait trait_of_part(const prompt_part& part);

/** @return True if a trait is that of a part, false if it is a fingerprint. */
bool is_part(const request_trait& trait);

/** @return The request's fingerprint first, then the trait of each part of its
 *  prompt but the last, which belongs to this request only. */
std::vector<request_trait> traits_of(const request_head& head,
                                     const std::string& body);

/** @return The first combination of which the request has all traits, or
 *  nullptr. */
const trait_combination*
find_combination(const std::vector<request_trait>& traits,
                 const std::vector<trait_combination>& combinations);

} // namespace rosemarydeck
