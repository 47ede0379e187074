/** @file client_call_func.cpp Calls from the client to daemons. */
#include "client/client_call_func.hpp"

#include "object_service/object_codec_func.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace rosemarydeck
{

namespace
{

namespace http = boost::beast::http;

constexpr auto call_timeout = std::chrono::seconds(10);
constexpr std::size_t max_answer_bytes = 256 * 1'048'576;

/** An answer of any status. */
struct raw_answer
{
    unsigned status = 0;
    std::string body;
};

error failure(const client_vm& vm, const std::string& text)
{
    return {error_code::unavailable, "call VM",
            vm.address + ":" + std::to_string(vm.port), text};
}

expected<raw_answer> exchange(const client_vm& vm, const std::string& key,
                              const std::string& method,
                              const std::string& path, const std::string& body)
{
    boost::asio::io_context context;
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(vm.address, fault);
    if (fault)
        return tl::unexpected(failure(vm, "not an IP number"));
    boost::beast::tcp_stream stream(context);
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(path);
    request.version(11);
    request.set(http::field::host, vm.address);
    request.set(http::field::authorization, "Bearer " + key);
    request.body() = body;
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    boost::beast::flat_buffer buffer;
    // Asynchronous only so that the stream's timeout applies.
    stream.expires_after(call_timeout);
    stream.async_connect(
        boost::asio::ip::tcp::endpoint(address, vm.port),
        [&](const auto& failed) {
            fault = failed;
            if (failed)
                return;
            http::async_write(stream, request, [&](const auto& wrong, auto) {
                fault = wrong;
                if (wrong)
                    return;
                http::async_read(
                    stream, buffer, parser,
                    [&](const auto& unread, auto) { fault = unread; });
            });
        });
    context.run();
    if (fault)
        return tl::unexpected(failure(vm, fault.message()));
    return raw_answer{parser.get().result_int(), parser.get().body()};
}

} // namespace

expected<std::string> call_vm(const client_vm& vm, const std::string& key,
                              const std::string& method,
                              const std::string& path, const std::string& body)
{
    const auto answer = exchange(vm, key, method, path, body);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status == 200)
        return answer->body;
    auto fault = failure(vm, "status " + std::to_string(answer->status) + " " +
                                 answer->body);
    if (answer->status == 401) {
        fault.code = error_code::denied;
        fault.text = "the operators' key is wrong; set ROSEMARYDECK_KEY";
    }
    return tl::unexpected(fault);
}

platform_result call_platform_via(const client_options& options,
                                  const platform_request& request)
{
    const auto encoded = encode_call(request);
    platform_result last =
        tl::unexpected(error{error_code::unavailable, "call platform", "",
                             "no VM given; use --vm ADDRESS:PORT"});
    for (const auto& vm : options.vms) {
        const auto answer =
            exchange(vm, options.key, encoded.method,
                     "/operator/platform" + encoded.target, encoded.body);
        if (!answer) {
            last = tl::unexpected(answer.error());
            continue;
        }
        last = decode_result(answer->status, answer->body);
        if (!last && last.error().code == error_code::invalid_input)
            last = tl::unexpected(error{error_code::invalid_input,
                                        "check value", "", answer->body});
        if (last || last.error().code != error_code::unavailable)
            return last;
    }
    return last;
}

} // namespace rosemarydeck
