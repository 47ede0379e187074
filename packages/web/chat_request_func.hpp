/** @file chat_request_func.hpp Parser of callers' requests. */
#pragma once

#include "core/event_type.hpp"
#include "web/answer_log_base.hpp"
#include "web/http_client_base.hpp"

namespace rosemarydeck
{

/** A caller's request in the forms for the core and the backend server. */
struct parsed_request
{
    caller_request core_request;
    upstream_request upstream;
};

/**
 * Parses a request to /v1/chat/completions or below /v1/services/.
 * @return Both forms, or error_code::invalid_input with the reason.
 */
expected<parsed_request> parse_caller_request(const http_request& request);

/** @return The bearer token of a request, or an empty string. */
std::string bearer_token_of(const http_request& request);

} // namespace rosemarydeck
