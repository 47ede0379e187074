/** @file client_call_func.hpp HTTP calls from the client to daemons. */
#pragma once

#include "client/client_type.hpp"
#include "object_service/object_call_type.hpp"

namespace rosemarydeck
{

/** Calls one daemon. @return The body of an answer with HTTP status 200; an
 *  error for any other status. */
expected<std::string> call_vm(const client_vm& vm, const std::string& key,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body = {});

/** Calls the platform's object service through the daemons in turn, until one
 *  gives an answer other than `unavailable`. */
platform_result call_platform_via(const client_options& options,
                                  const platform_request& request);

} // namespace rosemarydeck
