/** @file standin_platform.cpp Scripted stand-in for the platform's object
 * service. */
#include "object_service/object_codec_func.hpp"
#include "object_service/object_store_base.hpp"
#include "standin_server.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace standin
{

namespace
{

using namespace rosemarydeck;
using std::chrono::milliseconds;

/** Behaviour, set by POST /script, and counts, for GET /counts. */
struct platform_script
{
    std::atomic<bool> outage{false};  ///< Closes connections unanswered.
    std::atomic<int> slow_ms{0};      ///< Delay before each call.
    std::atomic<int> lose_answers{0}; ///< Writes to apply but not answer.
    std::atomic<long> writes{0};
    std::atomic<long> reads{0};
};

platform_script script;
object_store store;
std::mutex store_mutex;
std::condition_variable store_changed;

bool is_write(const platform_request& call)
{
    return !std::holds_alternative<get_object>(call) &&
           !std::holds_alternative<list_objects>(call) &&
           !std::holds_alternative<watch_objects>(call);
}

/** Applies a call; a watch waits until it has objects or times out. */
platform_result apply(const platform_request& call)
{
    std::unique_lock<std::mutex> lock(store_mutex);
    auto result = store.apply(call);
    if (const auto* watch = std::get_if<watch_objects>(&call)) {
        const auto until = std::chrono::steady_clock::now() + watch->wait;
        while (result && result->objects.empty() && !script.outage &&
               store_changed.wait_until(lock, until) != std::cv_status::timeout)
            result = store.apply(call);
    }
    lock.unlock();
    store_changed.notify_all();
    return result;
}

void set_script(const nlohmann::json& wanted)
{
    if (wanted.contains("outage"))
        script.outage = wanted["outage"].get<bool>();
    if (wanted.contains("slow_ms"))
        script.slow_ms = wanted["slow_ms"].get<int>();
    if (wanted.contains("lose_answers"))
        script.lose_answers = wanted["lose_answers"].get<int>();
    store_changed.notify_all();
}

bool handle(const http_call& call, socket& connection)
{
    const std::string path(call.target());
    if (path == "/script") {
        set_script(nlohmann::json::parse(call.body()));
        return reply(connection, call, 200, "{}");
    }
    if (path == "/counts")
        return reply(connection, call, 200,
                     nlohmann::json{{"writes", script.writes.load()},
                                    {"reads", script.reads.load()}}
                         .dump());
    if (script.outage)
        return false;
    std::this_thread::sleep_for(milliseconds(script.slow_ms));
    const auto decoded =
        decode_call({std::string(call.method_string()), path, call.body()});
    if (!decoded)
        return reply(connection, call, 400, "{}");
    const bool write = is_write(*decoded);
    ++(write ? script.writes : script.reads);
    const auto result = apply(*decoded);
    if (script.outage)
        return false;
    if (write && script.lose_answers > 0) {
        --script.lose_answers;
        return false;
    }
    return reply(connection, call, status_of(result), encode_result(result));
}

} // namespace

void run_platform(unsigned short port, const std::string& objects_file)
{
    std::ifstream file(objects_file);
    const auto json = nlohmann::json::parse(file, nullptr, false);
    if (json.is_object())
        for (const auto& [name, value] : json.items())
            store.apply(create_object{name, value.dump()});
    serve(port, handle);
}

} // namespace standin
