/** @file peer_message_func.hpp CBOR form of peer messages. */
#pragma once

#include "common/error_type.hpp"
#include "core/peer_message_type.hpp"

#include <cstdint>
#include <string>

namespace rosemarydeck
{

/** @param message A message. @return Its CBOR bytes with the version. */
std::string encode_message(const peer_message& message);

/**
 * Reads a message.
 * @param bytes CBOR from a peer.
 * @return The message; invalid_input if it is of another version, of an
 * unknown kind or malformed.
 */
expected<peer_message> decode_message(const std::string& bytes);

} // namespace rosemarydeck
