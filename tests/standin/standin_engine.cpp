/** @file standin_engine.cpp A model engine, or a plain service, by script. */
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

/** What the engine is told to do, by POST /script. */
struct engine_script
{
    std::atomic<int> first_ms{0};
    std::atomic<int> pace_ms{0};
    std::atomic<int> break_after{-1}; ///< Tokens, then the stream breaks.
    std::atomic<bool> stuck{false};   ///< Takes requests, answers nothing.
    std::atomic<bool> leaving{false};
    std::atomic<int> slots{8};
    std::atomic<int> running{0};
};

/** What the engine has done, for GET /runs. */
class run_book
{
public:
    void begin(const std::string& body)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++begun_[body];
    }
    void token() { ++tokens_; }
    std::string text()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return json{{"begun", begun_}, {"tokens", tokens_.load()}}.dump();
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> begun_;
    std::atomic<long> tokens_{0};
};

engine_script script;
run_book runs;

std::string chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string event(const json& data)
{
    return chunk("data: " + data.dump() + "\n\n");
}

void set_script(const json& wanted)
{
    const auto take = [&](const char* name, auto& into) {
        if (wanted.contains(name))
            into = wanted[name].get<std::decay_t<decltype(into.load())>>();
    };
    take("first_ms", script.first_ms);
    take("pace_ms", script.pace_ms);
    take("break_after", script.break_after);
    take("stuck", script.stuck);
    take("leaving", script.leaving);
    take("slots", script.slots);
}

json usage_of(const json& body, int tokens)
{
    const auto prompt = static_cast<int>(body["messages"].dump().size() / 4);
    return {{"prompt_tokens", prompt},
            {"completion_tokens", tokens},
            {"total_tokens", prompt + tokens}};
}

bool stream_answer(const http_call& call, const json& body, socket& to,
                   int tokens)
{
    const std::string id(call["X-Stream-Id"]);
    int from = 0;
    if (call.find("X-Resume-At") != call.end())
        from = std::atoi(std::string(call["X-Resume-At"]).c_str());
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\nX-Stream-Id: " +
                       id + "\r\n\r\n";
    if (!send(to, head))
        return false;
    for (int index = from; index < tokens; ++index) {
        if (script.break_after >= 0 && index - from >= script.break_after)
            return false;
        std::this_thread::sleep_for(milliseconds(script.pace_ms));
        const json delta{{"content", "t" + std::to_string(index) + " "}};
        runs.token();
        if (!send(to, event({{"id", id},
                             {"choices", {{{"index", 0}, {"delta", delta}}}}})))
            return false;
    }
    return send(to, event({{"id", id},
                           {"choices", json::array()},
                           {"usage", usage_of(body, tokens)}}) +
                        chunk("data: [DONE]\n\n") + "0\r\n\r\n");
}

bool whole_answer(const http_call& call, const json& body, socket& to,
                  int tokens)
{
    std::string text;
    for (int index = 0; index < tokens; ++index) {
        std::this_thread::sleep_for(milliseconds(script.pace_ms));
        runs.token();
        text += "t" + std::to_string(index) + " ";
    }
    const json message{{"role", "assistant"}, {"content", text}};
    return reply(to, call, 200,
                 json{{"choices", {{{"index", 0}, {"message", message}}}},
                      {"usage", usage_of(body, tokens)}}
                     .dump());
}

bool chat(const http_call& call, socket& to)
{
    const auto body = json::parse(call.body(), nullptr, false);
    if (!body.is_object())
        return reply(to, call, 400, "{}");
    if (call.body().find("CRASH-THE-ENGINE") != std::string::npos)
        std::_Exit(9);
    runs.begin(call.body());
    while (script.stuck)
        std::this_thread::sleep_for(milliseconds(20));
    std::this_thread::sleep_for(milliseconds(script.first_ms));
    const int tokens = body.value("max_tokens", 16);
    return body.value("stream", false) ? stream_answer(call, body, to, tokens)
                                       : whole_answer(call, body, to, tokens);
}

bool handle(const http_call& call, socket& to)
{
    const std::string path(call.target());
    if (path == "/load")
        return reply(to, call, 200,
                     json{{"running", script.running.load()},
                          {"waiting", 0},
                          {"slots", script.slots.load()},
                          {"leaving", script.leaving.load()}}
                         .dump());
    if (path == "/runs")
        return reply(to, call, 200, runs.text());
    if (path == "/script") {
        set_script(json::parse(call.body()));
        return reply(to, call, 200, "{}");
    }
    ++script.running;
    bool kept = false;
    if (path == "/v1/chat/completions")
        kept = chat(call, to);
    else {
        runs.begin(call.body());
        std::this_thread::sleep_for(milliseconds(script.first_ms));
        kept = reply(to, call, 200, json{{"placed", call.body()}}.dump());
    }
    --script.running;
    return kept;
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
