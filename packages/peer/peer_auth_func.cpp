/** @file peer_auth_func.cpp Nonces and keyed proofs of the peer handshake. */
#include "peer/peer_auth_func.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t nonce_bytes = 16;

std::string to_hex(const unsigned char* bytes, std::size_t count)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < count; ++index) {
        text += digits[bytes[index] >> 4U];
        text += digits[bytes[index] & 15U];
    }
    return text;
}

} // namespace

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error(
            "no random bytes for a handshake nonce (RAND_bytes failed)");
    return to_hex(bytes.data(), bytes.size());
}

std::string make_proof(const std::string& key, const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data(), &length);
    return to_hex(digest.data(), length);
}

bool proofs_equal(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace rosemarydeck
