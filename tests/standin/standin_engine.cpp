/** @file standin_engine.cpp Scripted stand-in for a model engine or a plain
 * service. */
#include "standin_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace standin
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

/** Behaviour, set by POST /script under the names of the members. */
struct engine_script
{
    std::atomic<int> first_ms{0};     ///< Delay before an answer.
    std::atomic<int> pace_ms{0};      ///< Delay before each token.
    std::atomic<int> break_after{-1}; ///< Tokens until it breaks off, or -1.
    std::atomic<bool> stuck{false};   ///< Accepts requests, never answers.
    std::atomic<bool> leaving{false}; ///< Reported by GET /load.
    std::atomic<int> slots{8};        ///< Reported by GET /load.
    std::atomic<int> running{0};      ///< Open requests; not set by script.
};

/** Counts request bodies and generated tokens, for GET /runs. */
class run_counter
{
public:
    void record_start(const std::string& body)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++starts_[body];
    }
    void record_token() { ++tokens_; }
    std::string text()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return json{{"begun", starts_}, {"tokens", tokens_.load()}}.dump();
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> starts_;
    std::atomic<long> tokens_{0};
};

engine_script script;
run_counter runs;

/** @return Bytes as one chunk of a chunked body. */
std::string chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

/** @return A server-sent event as one chunk. */
std::string event(const json& data)
{
    return chunk("data: " + data.dump() + "\n\n");
}

void set_script(const json& wanted)
{
    const auto set_if_given = [&](const char* name, auto& member) {
        if (wanted.contains(name))
            member = wanted[name].get<std::decay_t<decltype(member.load())>>();
    };
    set_if_given("first_ms", script.first_ms);
    set_if_given("pace_ms", script.pace_ms);
    set_if_given("break_after", script.break_after);
    set_if_given("stuck", script.stuck);
    set_if_given("leaving", script.leaving);
    set_if_given("slots", script.slots);
}

/** Counts the prompt as a quarter of its bytes. @return The usage object. */
json usage_of(const json& body, int tokens)
{
    const auto prompt = static_cast<int>(body["messages"].dump().size() / 4);
    return {{"prompt_tokens", prompt},
            {"completion_tokens", tokens},
            {"total_tokens", prompt + tokens}};
}

/** Streams tokens from X-Resume-At on. @return False to close. */
bool send_stream(const http_call& call, const json& body, socket& connection,
                 int tokens)
{
    const std::string id(call["X-Stream-Id"]);
    int first_index = 0;
    if (call.find("X-Resume-At") != call.end())
        first_index = std::atoi(std::string(call["X-Resume-At"]).c_str());
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\nX-Stream-Id: " +
                       id + "\r\n\r\n";
    if (!send(connection, head))
        return false;
    for (int index = first_index; index < tokens; ++index) {
        if (script.break_after >= 0 &&
            index - first_index >= script.break_after)
            return false;
        std::this_thread::sleep_for(milliseconds(script.pace_ms));
        const json delta{{"content", "t" + std::to_string(index) + " "}};
        runs.record_token();
        if (!send(connection,
                  event({{"id", id},
                         {"choices", {{{"index", 0}, {"delta", delta}}}}})))
            return false;
    }
    return send(connection, event({{"id", id},
                                   {"choices", json::array()},
                                   {"usage", usage_of(body, tokens)}}) +
                                chunk("data: [DONE]\n\n") + "0\r\n\r\n");
}

/** Sends all tokens in one JSON answer. @return False to close. */
bool send_answer(const http_call& call, const json& body, socket& connection,
                 int tokens)
{
    std::string text;
    for (int index = 0; index < tokens; ++index) {
        std::this_thread::sleep_for(milliseconds(script.pace_ms));
        runs.record_token();
        text += "t" + std::to_string(index) + " ";
    }
    const json message{{"role", "assistant"}, {"content", text}};
    return reply(connection, call, 200,
                 json{{"choices", {{{"index", 0}, {"message", message}}}},
                      {"usage", usage_of(body, tokens)}}
                     .dump());
}

/** Runs a chat completion; the word CRASH-THE-ENGINE ends the process. */
bool chat(const http_call& call, socket& connection)
{
    const auto body = json::parse(call.body(), nullptr, false);
    if (!body.is_object())
        return reply(connection, call, 400, "{}");
    if (call.body().find("CRASH-THE-ENGINE") != std::string::npos)
        std::_Exit(9);
    runs.record_start(call.body());
    while (script.stuck)
        std::this_thread::sleep_for(milliseconds(20));
    std::this_thread::sleep_for(milliseconds(script.first_ms));
    const int tokens = body.value("max_tokens", 16);
    return body.value("stream", false)
               ? send_stream(call, body, connection, tokens)
               : send_answer(call, body, connection, tokens);
}

bool handle(const http_call& call, socket& connection)
{
    const std::string path(call.target());
    if (path == "/load")
        return reply(connection, call, 200,
                     json{{"running", script.running.load()},
                          {"waiting", 0},
                          {"slots", script.slots.load()},
                          {"leaving", script.leaving.load()}}
                         .dump());
    if (path == "/runs")
        return reply(connection, call, 200, runs.text());
    if (path == "/script") {
        set_script(json::parse(call.body()));
        return reply(connection, call, 200, "{}");
    }
    ++script.running;
    bool keep_alive = false;
    if (path == "/v1/chat/completions")
        keep_alive = chat(call, connection);
    else {
        runs.record_start(call.body());
        std::this_thread::sleep_for(milliseconds(script.first_ms));
        keep_alive =
            reply(connection, call, 200, json{{"placed", call.body()}}.dump());
    }
    --script.running;
    return keep_alive;
}

} // namespace

void run_engine(unsigned short port, int first_ms, int pace_ms, int slots)
{
    script.first_ms = first_ms;
    script.pace_ms = pace_ms;
    script.slots = slots;
    serve(port, handle);
}

} // namespace standin
