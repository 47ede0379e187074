/** @file peer_auth_func.hpp Nonces and keyed proofs of the peer handshake. */
#pragma once

#include <string>

namespace rosemarydeck
{

/** @return A random nonce of 32 hexadecimal digits. */
std::string make_nonce();

/**
 * Computes the proof that the sender of a handshake knows the cluster key.
 * @param key The cluster key.
 * @param text Text to authenticate: both nonces and the sender's identity.
 * @return HMAC-SHA-256 of the text in hexadecimal digits.
 */
std::string make_proof(const std::string& key, const std::string& text);

/** Compares two proofs in constant time for a given length, so that the time
 *  reveals nothing of the expected proof. */
bool proofs_equal(const std::string& left, const std::string& right);

} // namespace rosemarydeck
