/** @file client_call_func.hpp Calls from the client to daemons. */
#pragma once

#include "client/client_type.hpp"
#include "object_service/object_call_type.hpp"

namespace rosemarydeck
{

/** Calls one daemon. @return The body; an error for any status but 200. */
expected<std::string> call_vm(const client_vm& vm, const std::string& key,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body = {});

/** Calls the platform through the first daemon that answers. */
platform_result call_platform_via(const client_options& options,
                                  const platform_request& request);

} // namespace rosemarydeck
