/** @file engine_pool_base.hpp Kept connections to engines. */
#pragma once

#include "common/error_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>

namespace rosemarydeck
{

/** An open connection to one engine. */
struct engine_connection
{
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    server_id engine;
    std::string outgoing; ///< Request being sent; lives until it is out.
    bool sending = false;
    bool connecting = false;
    bool fresh = true;        ///< Has carried no request before.
    duration max_idle_time{}; ///< How long the engine keeps it idle.
    time_point idle_since{};

    explicit engine_connection(boost::asio::io_context& io) : socket(io) {}

    /** Ends the connection so that the engine notices at once. */
    void reset();
};

using engine_connection_ptr = std::shared_ptr<engine_connection>;

/** Keeps idle connections of one thread for reuse. */
class engine_pool
{
public:
    explicit engine_pool(boost::asio::io_context& io);

    /** @return A kept connection that looks alive, or nullptr. */
    engine_connection_ptr take_idle(const engine_info& engine, time_point now);
    /** Opens a connection; suspends the fiber.
     *  @param into Set before connecting, so that others can cancel it. */
    expected<void> connect(const engine_info& engine,
                           const engine_connection_ptr& into,
                           milliseconds timeout);
    /** @return An unconnected connection. */
    engine_connection_ptr make();
    /** Keeps a connection whose last answer was whole. */
    void keep(engine_connection_ptr connection, time_point now);
    /** Closes idle connections that are stale or to engines not listed. */
    void tidy(const fleet_view& view, time_point now);

private:
    boost::asio::io_context& io_;
    std::map<server_id, std::deque<engine_connection_ptr>> idle_;
};

} // namespace rosemarydeck
