/** @file standin_server.cpp A small HTTP server, one thread per connection. */
#include "standin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <thread>

namespace standin
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

void serve(unsigned short port, const handler& handle)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context,
                           {boost::asio::ip::address_v4::loopback(), port});
    std::printf("ready %u\n", unsigned{acceptor.local_endpoint().port()});
    std::fflush(stdout);
    while (true) {
        socket next(context);
        boost::system::error_code error;
        acceptor.accept(next, error);
        if (error)
            continue;
        next.set_option(tcp::no_delay(true), error);
        std::thread([&handle, connection = std::move(next)]() mutable {
            boost::beast::flat_buffer buffer;
            while (true) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(8 * 1'048'576);
                boost::system::error_code read_error;
                http::read(connection, buffer, parser, read_error);
                if (read_error || !handle(parser.get(), connection))
                    return;
            }
        }).detach();
    }
}

bool send(socket& connection, const std::string& bytes)
{
    boost::system::error_code error;
    boost::asio::write(connection, boost::asio::buffer(bytes), error);
    return !error;
}

bool reply(socket& connection, const http_call& request, unsigned status,
           const std::string& body, const std::string& type)
{
    http::response<http::string_body> response;
    response.result(status);
    response.version(11);
    response.set(http::field::content_type, type);
    if (request.find("X-Stream-Id") != request.end())
        response.set("X-Stream-Id", request["X-Stream-Id"]);
    response.body() = body;
    response.prepare_payload();
    boost::system::error_code error;
    http::write(connection, response, error);
    return !error;
}

} // namespace standin
