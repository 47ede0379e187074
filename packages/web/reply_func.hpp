/** @file reply_func.hpp HTTP answers made by the daemon itself. */
#pragma once

#include "core/action_type.hpp"
#include "web/http_client_base.hpp"

namespace rosemarydeck
{

/** @return The HTTP status for a refusal reason. */
unsigned status_of(refusal_reason reason);

/** @return The JSON body that describes a refusal. */
std::string refusal_body(const refuse_request& refusal);

/** @return An answer with a JSON body. */
http_response json_reply(unsigned status, const std::string& body);

/** @return The answer for a refusal, with Retry-After if a retry may help. */
http_response refusal_reply(const refuse_request& refusal);

/**
 * Makes the answer to a request that is rejected before it runs.
 * @param reason The fixed name of the error, its `type` in the JSON body.
 * @param text The explanation, its `message`.
 */
http_response error_reply(unsigned status, const std::string& reason,
                          const std::string& text);

} // namespace rosemarydeck
