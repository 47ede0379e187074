/** @file chat_request_func.hpp Reads callers' requests. */
#pragma once

#include "core/event_type.hpp"
#include "web/answer_log_base.hpp"
#include "web/http_client_base.hpp"

namespace rosemarydeck
{

/** A caller's request, for the core and for the backend server. */
struct parsed_request
{
    caller_request decision;
    upstream_request upstream;
};

/**
 * Reads a request on /v1/chat/completions or below /v1/services/.
 * @param request The HTTP request, whole.
 * @return Both forms, or invalid_input with what is wrong.
 */
expected<parsed_request> read_request(const http_request& request);

/** @return The API key of a request, or an empty text. */
std::string bearer_of(const http_request& request);

} // namespace rosemarydeck
