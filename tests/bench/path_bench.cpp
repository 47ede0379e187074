/** @file path_bench.cpp HTTP load generator with one thread per
 * connection. */
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

/** Results of all threads. */
struct load_result
{
    std::mutex mutex;
    std::vector<double> latencies_ms;
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

/**
 * Sends requests one after the other on one connection until a time.
 * @param interval Least time from one request to the next; 0 sends the next as
 * soon as the answer is there.
 */
void send_requests(unsigned short port, clock_type::time_point until,
                   std::chrono::microseconds interval, load_result& total)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    const auto request = make_request();
    std::vector<double> latencies_ms;
    std::size_t failed = 0;
    while (clock_type::now() < until) {
        const auto start = clock_type::now();
        http::write(socket, request);
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        const auto elapsed = clock_type::now() - start;
        failed += response.result_int() == 200 ? 0 : 1;
        latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(elapsed).count());
        if (elapsed < interval)
            std::this_thread::sleep_for(interval - elapsed);
    }
    const std::lock_guard<std::mutex> lock(total.mutex);
    total.failed += failed;
    total.latencies_ms.insert(total.latencies_ms.end(), latencies_ms.begin(),
                              latencies_ms.end());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::fputs(
            "usage: path_bench PORT CALLERS SECONDS PACE_US\n"
            "Prints requests per second, median and p99 of the latency in "
            "ms, failures.\n"
            "PACE_US is the least time between requests of a caller, 0 for no "
            "pause.\n",
            stderr);
        return 2;
    }
    const auto port = static_cast<unsigned short>(std::atoi(argv[1]));
    const int callers = std::atoi(argv[2]);
    const auto length = std::chrono::seconds(std::atoi(argv[3]));
    const std::chrono::microseconds interval(std::atoi(argv[4]));
    load_result result;
    const auto until = clock_type::now() + length;
    std::vector<std::thread> threads;
    for (int count = 0; count < callers; ++count)
        threads.emplace_back(
            [&] { send_requests(port, until, interval, result); });
    for (auto& thread : threads)
        thread.join();
    auto& latencies_ms = result.latencies_ms;
    std::sort(latencies_ms.begin(), latencies_ms.end());
    std::printf("%.0f %.3f %.3f %zu\n",
                static_cast<double>(latencies_ms.size()) /
                    std::chrono::duration<double>(length).count(),
                latencies_ms[latencies_ms.size() / 2],
                latencies_ms[latencies_ms.size() * 99 / 100], result.failed);
    return 0;
}
