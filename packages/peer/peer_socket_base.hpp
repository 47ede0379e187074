/** @file peer_socket_base.hpp WebSockets, without the library's headers. */
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

/** Settings of the sockets. */
struct peer_socket_options
{
    std::size_t max_message_bytes = 0;
    std::int64_t reconnect_ms = 0;     ///< First pause, jittered.
    std::int64_t max_reconnect_ms = 0; ///< Pauses double up to this.
    std::int64_t handshake_ms = 0;
};

/** Names one connection for as long as the process runs. */
using socket_number = std::uint64_t;

/** What the sockets tell; all calls come from the io_context's thread. */
struct peer_socket_handlers
{
    std::function<void(socket_number, bool outgoing)> opened;
    std::function<void(socket_number)> closed;
    std::function<void(socket_number, bool binary, const std::string&)>
        received;
};

/** Accepts WebSockets, and dials addresses again and again. */
class peer_socket
{
public:
    peer_socket(boost::asio::io_context& context, peer_socket_options options,
                peer_socket_handlers handlers);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /**
     * Starts to accept.
     * @param address IP number. @param port 0 takes any.
     * @param fault Set to what went wrong.
     * @return The port, or 0 on a fault.
     */
    std::uint16_t listen(const std::string& address, std::uint16_t port,
                         std::string& fault);
    /** Keeps a connection to an address, retrying until forget() or stop(). */
    void dial(const std::string& address, std::uint16_t port);
    /** Dials an address no more; a connection to it stays until it ends. */
    void forget(const std::string& address, std::uint16_t port);
    /** @return IP:PORT that was dialled for a connection; empty if none. */
    [[nodiscard]] std::string target(socket_number of) const;
    /** Sends a message. @return False if the connection is not open. */
    bool send(socket_number to, bool binary, const std::string& bytes);
    /** @return Bytes that wait to be sent. */
    [[nodiscard]] std::size_t queued(socket_number to) const;
    /** Closes a connection. */
    void close(socket_number which);
    /** Closes everything. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace rosemarydeck
