/** @file object_codec_func.hpp The HTTP form of platform calls. */
#pragma once

#include "object_service/object_call_type.hpp"

namespace rosemarydeck
{

/** A platform call as an HTTP request. */
struct platform_http_request
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const platform_http_request&) const = default;
};

/** @param request A call. @return Its HTTP form. */
platform_http_request encode_call(const platform_request& request);

/** @param request An HTTP request. @return The call, or invalid_input. */
expected<platform_request> decode_call(const platform_http_request& request);

/** @param result An outcome. @return The HTTP status that stands for it. */
unsigned status_of(const platform_result& result);

/** @param result An outcome. @return The HTTP body that carries it. */
std::string encode_result(const platform_result& result);

/**
 * Reads the service's answer.
 * @param status HTTP status.
 * @param body HTTP body.
 * @return The outcome; anything unreadable is unavailable.
 */
platform_result decode_result(unsigned status, const std::string& body);

} // namespace rosemarydeck
