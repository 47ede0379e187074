/** @file peer_auth_func.hpp Keyed handshake between VMs. */
#pragma once

#include <string>

namespace rosemarydeck
{

/** @return A fresh random nonce of 32 hexadecimal digits. */
std::string make_nonce();

/**
 * Computes the proof that its sender knows the cluster key.
 * @param key The cluster key.
 * @param text What is proven: both nonces and the sender's identity.
 * @return HMAC-SHA-256 in hexadecimal digits.
 */
std::string make_proof(const std::string& key, const std::string& text);

/** Compares two proofs in a time that does not depend on their content. */
bool same_proof(const std::string& left, const std::string& right);

} // namespace rosemarydeck
