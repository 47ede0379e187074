/** @file peer_message_func.hpp CBOR form of peer messages. */
#pragma once

#include "common/error_type.hpp"
#include "core/peer_message_type.hpp"

#include <cstdint>
#include <string>

namespace rosemarydeck
{

/** @return A message as CBOR, with its name and the protocol version. */
std::string encode_message(const peer_message& message);

/**
 * Decodes a message.
 * @param bytes CBOR from a peer.
 * @return The message; invalid_input if its protocol version differs, its
 * name is unknown or it is malformed.
 */
expected<peer_message> decode_message(const std::string& bytes);

} // namespace rosemarydeck
