/** @file platform_client_base.cpp Clients of the platform's object service. */
#include "daemon/platform_client_base.hpp"

#include "object_service/object_codec_func.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

std::chrono::milliseconds watch_wait_time(const platform_request& request)
{
    const auto* watch = std::get_if<watch_objects>(&request);
    return watch == nullptr
               ? std::chrono::milliseconds{}
               : std::chrono::duration_cast<std::chrono::milliseconds>(
                     watch->wait);
}

} // namespace

http_platform::http_platform(boost::asio::io_context& context, http_peer peer,
                             std::chrono::milliseconds timeout)
    : client_(context), peer_(std::move(peer)), timeout_(timeout)
{
}

platform_result http_platform::call(const platform_request& request)
{
    const auto encoded = encode_call(request);
    http_request message;
    message.method_string(encoded.method);
    message.target(encoded.target);
    message.version(11);
    message.body() = encoded.body;
    const auto reply = client_.call(peer_, std::move(message),
                                    timeout_ + watch_wait_time(request));
    if (!reply)
        return tl::unexpected(reply.error().cause);
    return decode_result(reply->result_int(), reply->body());
}

embedded_platform::embedded_platform(const std::string& trial_file)
{
    std::ifstream file(trial_file);
    const auto json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_object())
        return;
    for (const auto& [name, value] : json.items())
        store_.apply(create_object{name, value.dump()});
}

platform_result embedded_platform::call(const platform_request& request)
{
    std::unique_lock<boost::fibers::mutex> lock(mutex_);
    const auto* watch = std::get_if<watch_objects>(&request);
    if (watch == nullptr) {
        auto result = store_.apply(request);
        lock.unlock();
        changed_.notify_all();
        return result;
    }
    auto result = store_.apply(request);
    const auto deadline = std::chrono::steady_clock::now() + watch->wait;
    while (result && result->objects.empty()) {
        const auto wait_status = changed_.wait_until(lock, deadline);
        result = store_.apply(request);
        if (wait_status == boost::fibers::cv_status::timeout)
            break;
    }
    return result;
}

platform_result call_through(platform_client& client,
                             const platform_request& request)
{
    return std::visit([&](auto& platform) { return platform->call(request); },
                      client);
}

} // namespace rosemarydeck
