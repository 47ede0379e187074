/** @file reply_func.hpp HTTP answers that the daemon writes itself. */
#pragma once

#include "core/action_type.hpp"
#include "web/http_client_base.hpp"

namespace rosemarydeck
{

/** @param reason Why a request was refused. @return Its HTTP status. */
unsigned status_of(refusal_reason reason);

/** @param refusal A refusal. @return Its JSON body. */
std::string refusal_body(const refuse_request& refusal);

/** @return An answer with a JSON body, for the request's HTTP version. */
http_response json_reply(unsigned status, const std::string& body);

/** @return A refusal as an answer, with Retry-After where it helps. */
http_response refusal_reply(const refuse_request& refusal);

/** @return An error in a request, as an answer: it has not run. */
http_response error_reply(unsigned status, const std::string& reason,
                          const std::string& text);

} // namespace rosemarydeck
