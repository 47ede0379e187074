/** @file engine_connection_pool_base.hpp Pool of idle connections to engines.
 */
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

/** A connection to one engine. */
struct engine_connection
{
    /** Bytes that are read and not yet parsed. Only bytes that are no answer,
     *  such as an endless line, reach this. */
    static constexpr std::size_t max_buffered_bytes = 262'144;
    /** Maximum idle time before reuse for engines that state no keep-alive
     *  time-out. They close idle connections after 1 s. */
    static constexpr duration default_max_idle_time = milliseconds(500);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    server_id engine;
    std::string outgoing; ///< Request being sent; must outlive the send.
    bool sending = false; ///< True until the request was sent without error.
    bool connecting = false;
    bool fresh = true; ///< True until it is first pooled.
    /** Start of the engine process at its other end, as that says; 0 if it was
     *  not asked. */
    std::int64_t confirmed_start_ms = 0;
    /** How long the engine keeps it open idle. */
    duration max_idle_time = default_max_idle_time;
    time_point idle_since{};

    explicit engine_connection(boost::asio::io_context& io)
        : socket(io), buffer(max_buffered_bytes)
    {
    }

    /** Closes with a TCP reset, so that the engine notices at once. */
    void reset();
};

using engine_connection_ptr = std::shared_ptr<engine_connection>;

/** Holds idle connections of one thread for reuse. */
class engine_connection_pool
{
public:
    explicit engine_connection_pool(boost::asio::io_context& io);

    /** @return An idle connection that is still open, or nullptr. */
    engine_connection_ptr take_idle(const engine_info& engine, time_point now);
    /** Opens a connection; suspends the fiber.
     *  @param connection Connection to open; the caller holds it, so that
     *         another fiber can cancel by closing its socket. */
    expected<void> connect(const engine_info& engine,
                           const engine_connection_ptr& connection,
                           milliseconds timeout);
    /** @return A new connection that is not yet open. */
    engine_connection_ptr make();
    /** Adds a connection whose last answer was complete to the idle ones. */
    void keep(engine_connection_ptr connection, time_point now);
    /** Records that a connection to an engine failed: it may have started anew,
     *  with other software, and its entry may not be read yet. */
    void record_doubt(const engine_info& engine);
    /** @return True after record_doubt() until the entry names another start.
     */
    [[nodiscard]] bool is_doubtful(const engine_info& engine) const;
    /** The engine has confirmed the start that its entry names. */
    void clear_doubt(const server_id& engine) { doubtful_.erase(engine); }
    /** Closes the idle connections to one engine. */
    void close_idle(const server_id& engine) { idle_.erase(engine); }
    /** Closes idle connections that have expired or whose engine is not in
     *  the view. */
    void close_stale(const fleet_view& view, time_point now);

private:
    boost::asio::io_context& io_;
    /** Idle connections by engine, newest last. */
    std::map<server_id, std::deque<engine_connection_ptr>> idle_;
    /** Starts of the engines, in Unix ms, whose connections failed since. */
    std::map<server_id, std::int64_t> doubtful_;
};

} // namespace rosemarydeck
