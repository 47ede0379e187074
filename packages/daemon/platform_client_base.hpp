/** @file platform_client_base.hpp Clients of the platform's object service. */
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

/** Client of the platform's object service over HTTP. */
class http_platform
{
public:
    http_platform(boost::asio::io_context& context, http_peer peer,
                  std::chrono::milliseconds timeout);

    /** Calls the service and suspends the fiber until the answer or the
     *  timeout. */
    platform_result call(const platform_request& request);

private:
    http_client client_;
    http_peer peer_;
    std::chrono::milliseconds timeout_;
};

/** Object service inside the daemon, for trials with one VM. */
class embedded_platform
{
public:
    /** @param trial_file Path of a file with a JSON object that maps object
     *  names to values. The service starts empty if the file can't be read or
     *  holds no JSON object. */
    explicit embedded_platform(const std::string& trial_file);

    /** Answers a call. A watch suspends the fiber until an object has changed
     *  or its wait time has passed. */
    platform_result call(const platform_request& request);

private:
    object_store store_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
};

/** Client of the platform, over HTTP or embedded. */
using platform_client = std::variant<std::unique_ptr<http_platform>,
                                     std::unique_ptr<embedded_platform>>;

/** Calls the platform through either client; must run in a fiber. */
platform_result call_through(platform_client& client,
                             const platform_request& request);

} // namespace rosemarydeck
