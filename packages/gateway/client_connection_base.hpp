/** @file client_connection_base.hpp Reads a client's requests in turn. */
#pragma once

#include "gateway/exchange_base.hpp"

namespace rosemarydeck
{

/** One client's connection; its fiber calls run(). */
class client_connection
{
public:
    client_connection(traffic_context& shared,
                      boost::asio::ip::tcp::socket socket);

    /** Serves requests until the connection ends. */
    void run();
    /** Ends the connection if no request is being read or served. */
    void close_if_idle();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool read_request(request_parser& parser);
    bool parse(request_parser& parser);
    void refuse(unsigned status);

    traffic_context& shared_;
    std::shared_ptr<client_stream> stream_;
    bool serving_ = false;
    boost::system::error_code fault_;
};

} // namespace rosemarydeck
