/** @file object_codec_func.hpp HTTP encoding of platform calls. */
#pragma once

#include "object_service/object_call_type.hpp"

namespace rosemarydeck
{

/** A platform call as an HTTP request: method, target and body. */
struct platform_http_request
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const platform_http_request&) const = default;
};

/** @return A platform call as an HTTP request. */
platform_http_request encode_call(const platform_request& request);

/** @return The platform call, or error_code::invalid_input. */
expected<platform_request> decode_call(const platform_http_request& request);

/** @return The HTTP status for the result of a call. */
unsigned status_of(const platform_result& result);

/** @return The HTTP body for the result of a call. */
std::string encode_result(const platform_result& result);

/**
 * Converts the service's HTTP answer to the result of a call.
 * @return The result. An unknown status, or a malformed body with status 200,
 *         gives error_code::unavailable.
 */
platform_result decode_result(unsigned status, const std::string& body);

} // namespace rosemarydeck
