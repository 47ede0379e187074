/** @file engine_connection_pool_base.cpp Pool of idle connections to engines.
 */
#include "gateway/engine_connection_pool_base.hpp"

#include "web/fiber_scheduler_base.hpp"
#include "web/socket_option_func.hpp"

#include <boost/asio/steady_timer.hpp>
#include <set>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t max_idle_per_engine = 6;
/** Bytes that the kernel receives ahead from an engine whose answer's client
 *  reads slowly. */
constexpr int receive_buffer_bytes = 131'072;
/** Time after which unanswered keep-alive probes close a connection to a
 *  vanished engine; two probes are lost by then. */
constexpr auto dead_peer_timeout = std::chrono::seconds(3);

/** @param was_reset Set if the engine has reset the connection. */
bool is_usable(engine_connection& connection, bool& was_reset)
{
    // Anything readable on an idle connection is a close or an unexpected
    // answer.
    boost::system::error_code fault;
    connection.socket.non_blocking(true, fault);
    char byte = 0;
    connection.socket.receive(boost::asio::buffer(&byte, 1),
                              boost::asio::socket_base::message_peek, fault);
    was_reset = fault == boost::asio::error::connection_reset;
    return fault == boost::asio::error::would_block;
}

bool is_expired(const engine_connection& connection, time_point now)
{
    return now - connection.idle_since >= connection.max_idle_time;
}

} // namespace

void engine_connection::reset()
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

engine_connection_pool::engine_connection_pool(boost::asio::io_context& io)
    : io_(io)
{
}

engine_connection_ptr
engine_connection_pool::take_idle(const engine_info& engine, time_point now)
{
    auto& idle = idle_[engine.id];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        bool was_reset = false;
        if (!is_expired(*connection, now) && is_usable(*connection, was_reset))
            return connection;
        if (was_reset)
            record_doubt(engine);
    }
    return nullptr;
}

engine_connection_ptr engine_connection_pool::make()
{
    return std::make_shared<engine_connection>(io_);
}

expected<void>
engine_connection_pool::connect(const engine_info& engine,
                                const engine_connection_ptr& connection,
                                milliseconds timeout)
{
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(engine.address, fault);
    const auto failed = [&](const std::string& text) {
        return tl::unexpected(
            error{error_code::unavailable, "connect", engine.endpoint(), text});
    };
    if (fault)
        return failed(fault.message());
    connection->engine = engine.id;
    connection->connecting = true;
    const boost::asio::ip::tcp::endpoint target(address, engine.port);
    connection->socket.open(target.protocol(), fault);
    if (fault)
        return failed(fault.message());
    connection->socket.set_option(
        boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes),
        fault);
    boost::asio::steady_timer timer(io_, timeout);
    timer.async_wait([connection](const boost::system::error_code& stopped) {
        boost::system::error_code ignored;
        if (!stopped && connection->connecting)
            connection->socket.close(ignored);
    });
    const auto done = await_io([&](auto handler) {
        connection->socket.async_connect(target, std::move(handler));
    });
    connection->connecting = false;
    timer.cancel();
    if (done.fault)
        return failed(done.fault.message());
    if (!connection->socket.is_open())
        return failed("cancelled");
    enable_dead_peer_detection(connection->socket, dead_peer_timeout);
    return {};
}

void engine_connection_pool::keep(engine_connection_ptr connection,
                                  time_point now)
{
    auto& idle = idle_[connection->engine];
    connection->fresh = false;
    connection->idle_since = now;
    idle.push_back(std::move(connection));
    if (idle.size() > max_idle_per_engine)
        idle.pop_front();
}

void engine_connection_pool::record_doubt(const engine_info& engine)
{
    doubtful_[engine.id] = engine.started_at_ms;
}

bool engine_connection_pool::is_doubtful(const engine_info& engine) const
{
    const auto found = doubtful_.find(engine.id);
    return found != doubtful_.end() && found->second == engine.started_at_ms;
}

void engine_connection_pool::close_stale(const fleet_view& view, time_point now)
{
    std::set<server_id> listed;
    for (const auto& [service, engines] : view.engines)
        for (const auto& engine : engines)
            listed.insert(engine.id);
    std::erase_if(idle_,
                  [&](const auto& one) { return !listed.count(one.first); });
    std::erase_if(doubtful_,
                  [&](const auto& one) { return !listed.count(one.first); });
    for (auto& [engine, idle] : idle_)
        std::erase_if(idle,
                      [&](const auto& one) { return is_expired(*one, now); });
}

} // namespace rosemarydeck
