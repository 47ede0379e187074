/** @file path_bench.cpp Load on one HTTP address, by plain threads. */
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

/** What the threads found together. */
struct load_result
{
    std::mutex mutex;
    std::vector<double> milliseconds;
    std::size_t failed = 0;
};

http::request<http::string_body> make_request()
{
    http::request<http::string_body> request;
    request.method(http::verb::post);
    request.target("/v1/chat/completions");
    request.version(11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::authorization, "Bearer key-acme");
    request.body() = R"({"model":"chat","max_tokens":1,)"
                     R"("messages":[{"role":"user","content":"hello"}]})";
    request.prepare_payload();
    return request;
}

/** Asks over one kept connection, at a pace or as fast as it goes. */
void run_caller(unsigned short port, clock_type::time_point until,
                std::chrono::microseconds pace, load_result& into)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    const auto request = make_request();
    std::vector<double> times;
    std::size_t failed = 0;
    while (clock_type::now() < until) {
        const auto begun = clock_type::now();
        http::write(socket, request);
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        const auto took = clock_type::now() - begun;
        failed += response.result_int() == 200 ? 0 : 1;
        times.push_back(
            std::chrono::duration<double, std::milli>(took).count());
        if (took < pace)
            std::this_thread::sleep_for(pace - took);
    }
    const std::lock_guard<std::mutex> lock(into.mutex);
    into.failed += failed;
    into.milliseconds.insert(into.milliseconds.end(), times.begin(),
                             times.end());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::fputs("path_bench PORT CALLERS SECONDS PACE_US\n", stderr);
        return 2;
    }
    const auto port = static_cast<unsigned short>(std::atoi(argv[1]));
    const int callers = std::atoi(argv[2]);
    const auto span = std::chrono::seconds(std::atoi(argv[3]));
    const std::chrono::microseconds pace(std::atoi(argv[4]));
    load_result result;
    const auto until = clock_type::now() + span;
    std::vector<std::thread> threads;
    for (int count = 0; count < callers; ++count)
        threads.emplace_back([&] { run_caller(port, until, pace, result); });
    for (auto& thread : threads)
        thread.join();
    auto& times = result.milliseconds;
    std::sort(times.begin(), times.end());
    std::printf("%.0f %.3f %.3f %zu\n",
                static_cast<double>(times.size()) /
                    std::chrono::duration<double>(span).count(),
                times[times.size() / 2], times[times.size() * 99 / 100],
                result.failed);
    return 0;
}
