/** @file web_test.cpp Tests of requests, streams, logs and fibers. */
#include "web/answer_store_base.hpp"
#include "web/chat_request_func.hpp"
#include "web/fiber_scheduler_base.hpp"
#include "web/fiber_slot_base.hpp"
#include "web/http_client_base.hpp"
#include "web/reply_func.hpp"
#include "web/socket_option_func.hpp"
#include "web/sse_func.hpp"

#include <boost/fiber/all.hpp>
#include <catch2/catch.hpp>
#include <netinet/tcp.h>
#include <thread>

using namespace rosemarydeck;

namespace
{

http_request chat_request(const std::string& body)
{
    http_request request;
    request.method(boost::beast::http::verb::post);
    request.target("/v1/chat/completions");
    request.set("Authorization", "Bearer key");
    request.body() = body;
    return request;
}

} // namespace

TEST_CASE("a chat request is parsed, and a malformed one is rejected")
{
    const auto parsed = parse_caller_request(
        chat_request(R"({"model":"m","max_tokens":5,"stream":true,
                 "messages":[{"role":"user","content":"hello"}]})"));
    REQUIRE(parsed);
    CHECK(parsed->core_request.target == target_id("m"));
    CHECK(parsed->core_request.max_prompt_tokens == 21);
    CHECK(parsed->upstream.stream);
    CHECK(parsed->upstream.body.find("include_usage") != std::string::npos);
    for (const auto* invalid_body :
         {"", "{", "[]", R"({"messages":[]})", R"({"model":"m"})",
          R"({"model":"m","messages":[1]})",
          R"({"model":"m","messages":[{"role":"user"}]})",
          R"({"model":7,"messages":[{"role":"u","content":"x"}]})",
          R"({"model":"m","n":2,"messages":[{"role":"u","content":"x"}]})",
          R"({"model":"m","max_tokens":-1,
              "messages":[{"role":"u","content":"x"}]})"})
        CHECK_FALSE(parse_caller_request(chat_request(invalid_body)));
}

TEST_CASE("headers are checked; unrepeatable calls need an idempotency key")
{
    auto request = chat_request("order");
    request.target("/v1/services/orders/place");
    CHECK_FALSE(parse_caller_request(request));
    request.set("Idempotency-Key", "k/1");
    CHECK_FALSE(parse_caller_request(request));
    request.set("Idempotency-Key", "k-1");
    REQUIRE(parse_caller_request(request));
    CHECK_FALSE(parse_caller_request(request)->core_request.repeatable);
    CHECK(parse_caller_request(request)->upstream.path == "/place");
    request.set("X-Priority", "high");
    CHECK_FALSE(parse_caller_request(request));
}

TEST_CASE("events are found in a stream that is read in pieces of any size")
{
    const std::string text =
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n: ping\n\n"
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,"
        "\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < text.size(); piece += 7) {
        sse_splitter splitter;
        std::vector<chat_event> events;
        for (std::size_t at = 0; at < text.size(); at += piece)
            for (auto& event : splitter.feed(text.substr(at, piece)))
                events.push_back(event);
        REQUIRE(events.size() == 4);
        CHECK(events[0].tokens == 1);
        CHECK(events[2].usage == token_usage{3, 1});
        CHECK(events[3].done);
    }
    sse_splitter splitter;
    CHECK(splitter.feed("data: {oops\n\n").front().malformed);
}

TEST_CASE("a refusal has a status and says whether the request ran")
{
    const refuse_request refusal{request_id(1), refusal_reason::would_be_late,
                                 ran_state::no, 1500};
    const auto reply = refusal_reply(refusal);
    CHECK(reply.result_int() == 429);
    CHECK(reply[boost::beast::http::field::retry_after] == "2");
    CHECK(reply.body().find("\"ran\":\"no\"") != std::string::npos);
}

TEST_CASE("a fiber waits for another thread without a poll loop")
{
    fiber_slot<int> slot;
    int received = 0;
    boost::asio::io_context context; // Outlives the thread's scheduler.
    std::thread waiting([&] {
        boost::fibers::use_scheduling_algorithm<fiber_scheduler>(context);
        boost::fibers::fiber sleeping_fiber(
            [&] { fiber_sleep(context, std::chrono::milliseconds(1)); });
        received = slot.take();
        sleeping_fiber.join();
    });
    slot.put(7);
    waiting.join();
    CHECK(received == 7);
}

TEST_CASE("the end of an answer is held back from readers until finish")
{
    answer_log log({}, 100);
    log.start(200, "text/event-stream");
    CHECK(log.append("abc"));
    log.hold_end("END");
    auto part = std::get<answer_part>(log.wait_for_more(0));
    CHECK(part.bytes == "abc");
    CHECK_FALSE(part.finished);
    log.finish();
    part = std::get<answer_part>(log.wait_for_more(3));
    CHECK(part.bytes == "END");
    CHECK(part.finished);
    CHECK_FALSE(log.append(std::string(200, 'x')));
}

TEST_CASE("kept answers are bounded in size; the oldest are evicted first")
{
    answer_store store(10);
    std::vector<request_id> ids;
    for (int count = 0; count < 3; ++count) {
        const auto log = std::make_shared<answer_log>(upstream_request{}, 100);
        log->append("123456");
        ids.push_back(store.next_id());
        store.add(ids.back(), log);
    }
    CHECK(store.keep(ids[0]).empty());
    CHECK(store.keep(ids[1]) == std::vector<request_id>{ids[0]});
    CHECK(store.find(ids[0]) == nullptr);
    CHECK(store.find(ids[2]) != nullptr);
}

TEST_CASE("the connect time-out of a call is bounded by 600 ms", "[client]")
{
    using namespace std::chrono_literals;
    CHECK(connect_timeout_for(20s) == 600ms);
    CHECK(connect_timeout_for(250ms) == 250ms);
}

TEST_CASE("a peer that is silent for a second and a half is not taken for dead",
          "[socket]")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    for (const int timeout_s : {3, 5}) {
        enable_dead_peer_detection(socket, std::chrono::seconds(timeout_s));
        const auto option = [&](int name) {
            int value = 0;
            socklen_t size = sizeof(value);
            REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, name,
                               &value, &size) == 0);
            return value;
        };
        // The user time-out decides when probes give up, whatever their count.
        CHECK(option(TCP_USER_TIMEOUT) == timeout_s * 1'000);
        CHECK(option(TCP_USER_TIMEOUT) >= 1'500 + 1'000 * option(TCP_KEEPIDLE));
        CHECK(option(TCP_KEEPIDLE) + option(TCP_KEEPINTVL) >= 2);
        // Without it the count decides no sooner.
        CHECK(option(TCP_KEEPIDLE) +
                  option(TCP_KEEPINTVL) * option(TCP_KEEPCNT) >=
              timeout_s);
    }
}
