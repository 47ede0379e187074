/** @file peer_socket_base.hpp WebSocket server and client, independent of the
 *  WebSocket library's headers. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace rosemarydeck
{

/** Sizes and times of a peer_socket. */
struct peer_socket_options
{
    /** Bound of the size of a received message. */
    std::size_t max_message_bytes = 0;
    std::int64_t min_reconnect_delay_ms =
        0; ///< Delay before the first retry, jittered.
    /** Bound of the delay, which doubles with each failure. */
    std::int64_t max_reconnect_delay_ms = 0;
    std::int64_t handshake_timeout_ms =
        0; ///< Timeout of a WebSocket handshake.
};

/** Number of a connection, unique within the process. */
using socket_number = std::uint64_t;

/** Callbacks of a peer_socket, called on the io_context's thread. */
struct peer_socket_handlers
{
    /** An incoming connection before its handshake. It is closed if this
     *  returns false. Optional. */
    std::function<bool(socket_number)> accepted;
    /** The end of an incoming connection, also before its handshake. Optional.
     */
    std::function<void(socket_number)> ended;
    std::function<void(socket_number, bool outgoing)> opened;
    std::function<void(socket_number)> closed;
    std::function<void(socket_number, bool binary, const std::string&)>
        received;
};

/**
 * Accepts WebSocket connections and keeps outgoing ones to given addresses.
 * A failed or closed outgoing connection is retried with exponential back-off.
 */
class peer_socket
{
public:
    peer_socket(boost::asio::io_context& context, peer_socket_options options,
                peer_socket_handlers handlers);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /**
     * Starts to accept connections.
     * @param address IP address to listen on.
     * @param port Port to listen on; 0 lets the system choose one.
     * @param error_text Set to the system's error text on failure.
     * @return The port, or 0 on failure.
     */
    std::uint16_t listen(const std::string& address, std::uint16_t port,
                         std::string& error_text);
    /** Connects to an address, and again after each failure or close, until
     *  forget() or stop(). */
    void dial(const std::string& address, std::uint16_t port);
    /** Stops reconnecting to an address; an open connection to it stays. */
    void forget(const std::string& address, std::uint16_t port);
    /** @return IP:PORT that an outgoing connection was made to; empty for an
     *  incoming or closed one. */
    [[nodiscard]] std::string target(socket_number socket) const;
    /** Sends a message. @param binary Whether the message is binary or text.
     *  @return False if the connection is not open. */
    bool send(socket_number socket, bool binary, const std::string& bytes);
    /** @return Bytes of messages that are not written to the network yet. */
    [[nodiscard]] std::size_t queued(socket_number socket) const;
    void close(socket_number socket);
    /** Closes an incoming connection at once, also before its handshake. */
    void abort(socket_number socket);
    /** Stops accepting and reconnecting, and closes all connections. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace rosemarydeck
