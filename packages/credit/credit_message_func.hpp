/** @file credit_message_func.hpp The form of messages between VMs. */
#pragma once

#include "common/error_type.hpp"
#include "credit/credit_type.hpp"

namespace rosemarydeck
{

/** @return The message in CBOR. */
std::string encode_credit(const credit_message& message);

/**
 * @param bytes Anything that a peer sent. @param peer Its name, for the error.
 * @return The message; invalid_input if it is none, or has negative amounts.
 */
expected<credit_message> decode_credit(const std::string& bytes,
                                       const std::string& peer);

} // namespace rosemarydeck
