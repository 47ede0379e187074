/** @file credit_message_func.hpp CBOR encoding of credit messages. */
#pragma once

#include "common/error_type.hpp"
#include "credit/credit_type.hpp"

namespace rosemarydeck
{

/** @return The message as a CBOR array. */
std::string encode_credit(const credit_message& message);

/**
 * @param bytes Untrusted data from a peer.
 * @param peer The peer's name, for the error.
 * @return The message; invalid_input if malformed or an amount is negative.
 */
expected<credit_message> decode_credit(const std::string& bytes,
                                       const std::string& peer);

} // namespace rosemarydeck
