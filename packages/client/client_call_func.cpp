/** @file client_call_func.cpp HTTP calls from the client to daemons. */
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

/** HTTP answer of a daemon, of any status. */
struct http_answer
{
    unsigned status = 0;
    std::string body;
};

error call_error(const client_vm& vm, const std::string& text)
{
    return {error_code::unavailable, "call VM",
            vm.address + ":" + std::to_string(vm.port), text};
}

expected<http_answer> send_request(const client_vm& vm, const std::string& key,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body)
{
    boost::asio::io_context context;
    boost::system::error_code asio_error;
    const auto address = boost::asio::ip::make_address(vm.address, asio_error);
    if (asio_error)
        return tl::unexpected(call_error(
            vm, "expected an IP address; host names are not resolved"));
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
    // The stream's timeout applies only to asynchronous calls.
    stream.expires_after(call_timeout);
    stream.async_connect(
        boost::asio::ip::tcp::endpoint(address, vm.port),
        [&](const auto& connect_error) {
            asio_error = connect_error;
            if (connect_error)
                return;
            http::async_write(
                stream, request, [&](const auto& write_error, auto) {
                    asio_error = write_error;
                    if (write_error)
                        return;
                    http::async_read(stream, buffer, parser,
                                     [&](const auto& read_error, auto) {
                                         asio_error = read_error;
                                     });
                });
        });
    context.run();
    if (asio_error)
        return tl::unexpected(call_error(vm, asio_error.message()));
    return http_answer{parser.get().result_int(), parser.get().body()};
}

} // namespace

expected<std::string> call_vm(const client_vm& vm, const std::string& key,
                              const std::string& method,
                              const std::string& path, const std::string& body)
{
    const auto answer = send_request(vm, key, method, path, body);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status == 200)
        return answer->body;
    auto fault =
        call_error(vm, "answered with HTTP status " +
                           std::to_string(answer->status) + " " + answer->body);
    if (answer->status == 401) {
        fault.code = error_code::denied;
        fault.text =
            "the VM rejected the operators' key; set ROSEMARYDECK_KEY to "
            "the key under [operators] in the VM's settings";
    }
    return tl::unexpected(fault);
}

platform_result call_platform_via(const client_options& options,
                                  const platform_request& request)
{
    const auto encoded = encode_call(request);
    platform_result last_result =
        tl::unexpected(error{error_code::unavailable, "call platform", "",
                             "no VM given; use --vm ADDRESS:PORT"});
    for (const auto& vm : options.vms) {
        const auto answer =
            send_request(vm, options.key, encoded.method,
                         "/operator/platform" + encoded.target, encoded.body);
        if (!answer) {
            last_result = tl::unexpected(answer.error());
            continue;
        }
        last_result = decode_result(answer->status, answer->body);
        if (!last_result &&
            last_result.error().code == error_code::invalid_input)
            last_result = tl::unexpected(error{
                error_code::invalid_input, "check value", "", answer->body});
        if (last_result || last_result.error().code != error_code::unavailable)
            return last_result;
    }
    return last_result;
}

} // namespace rosemarydeck
