/** @file standin_server.hpp A small HTTP server, one thread per connection. */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

namespace standin
{

using http_call = boost::beast::http::request<boost::beast::http::string_body>;
using socket = boost::asio::ip::tcp::socket;

/** Answers one request. @return False to close the connection. */
using handler = std::function<bool(const http_call&, socket&)>;

/** Serves forever on a loopback port (0: any free); prints "ready PORT". */
[[noreturn]] void serve(unsigned short port, const handler& handle);

/** Sends a complete answer. @return False if the connection is lost. */
bool reply(socket& connection, const http_call& request, unsigned status,
           const std::string& body,
           const std::string& type = "application/json");

/** Sends bytes. @return False if the connection is lost. */
bool send(socket& connection, const std::string& bytes);

/**
 * Runs the stand-in for a model engine or a plain service.
 * @param first_ms Delay before an answer.
 * @param pace_ms Delay before each token.
 * @param slots Slots reported by GET /load.
 */
[[noreturn]] void run_engine(unsigned short port, int first_ms, int pace_ms,
                             int slots);
/**
 * Runs the stand-in for the platform's object service.
 * @param objects_file JSON file of initial objects, name to value.
 */
[[noreturn]] void run_platform(unsigned short port,
                               const std::string& objects_file);

} // namespace standin
