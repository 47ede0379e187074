/** @file platform_client_base.hpp The platform's service, near or far. */
#pragma once

#include "object_service/object_store_base.hpp"
#include "web/http_client_base.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <variant>

namespace rosemarydeck
{

/** The platform's service over HTTP. */
class http_platform
{
public:
    http_platform(boost::asio::io_context& context, http_peer peer,
                  std::chrono::milliseconds timeout);

    /** Calls the service and suspends the fiber until it is answered. */
    platform_result call(const platform_request& request);

private:
    http_client client_;
    http_peer peer_;
    std::chrono::milliseconds timeout_;
};

/** An object service inside the daemon, for trials on one VM. */
class embedded_platform
{
public:
    /** @param trial_file Objects to begin with, or an empty path. */
    explicit embedded_platform(const std::string& trial_file);

    /** Answers a call; a watch suspends the fiber until there is news. */
    platform_result call(const platform_request& request);

private:
    object_store store_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable written_;
};

/** Either kind of platform. */
using platform_client = std::variant<std::unique_ptr<http_platform>,
                                     std::unique_ptr<embedded_platform>>;

/** Calls whichever platform there is, from a fiber. */
platform_result call_on(platform_client& client,
                        const platform_request& request);

} // namespace rosemarydeck
