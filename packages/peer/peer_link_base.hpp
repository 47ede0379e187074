/** @file peer_link_base.hpp Authenticated message links to the other VMs. */
#pragma once

#include "common/error_type.hpp"
#include "member/member_type.hpp"
#include "peer/peer_socket_base.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace rosemarydeck
{

/** Settings of the peer link. */
struct peer_link_options
{
    member_info self;                ///< This VM; listen() sets its peer_port.
    std::string cluster_key;         ///< Secret shared by all VMs of the fleet.
    std::size_t max_queue_bytes = 0; ///< Bound of unsent bytes to one peer.
    /** Bound of the size of a received message. */
    std::size_t max_message_bytes = 16 * 1'048'576;
    std::int64_t min_reconnect_delay_ms =
        200; ///< Delay before the first retry.
    /** Bound of the delay, which doubles with each failure. */
    std::int64_t max_reconnect_delay_ms = 5000;
    /** Timeout of the WebSocket handshake, and of the proof exchange. */
    std::int64_t handshake_timeout_ms = 3000;
};

/** Callbacks of a peer_link, called on the io_context's thread. */
struct peer_link_handlers
{
    /** Messages to a peer can be sent from now on. */
    std::function<void(const member_info&)> connected;
    /** The connection in use has closed, and messages may be lost. `connected`
     *  follows at once if a spare connection is open. */
    std::function<void(const instance_id&)> disconnected;
    /** A message has come from a peer. */
    std::function<void(const instance_id&, const std::string&)> received;
    std::function<void(const error&)> failed; ///< A handshake was rejected.
};

/**
 * Exchanges messages with each peer over an authenticated WebSocket connection.
 * Both ends prove knowledge of the cluster key over fresh nonces before any
 * message is exchanged. Messages after that are neither encrypted nor signed.
 */
class peer_link
{
public:
    peer_link(boost::asio::io_context& context, peer_link_options options,
              peer_link_handlers handlers);

    /**
     * Starts to accept connections of peers.
     * @return The port; error `unavailable` if the address can't be used.
     */
    expected<std::uint16_t> listen();
    /** Connects to an address, and again after each failure or close, until
     *  stop(). */
    void dial(const std::string& address, std::uint16_t port);
    /**
     * Sends a message.
     * @return Error `unavailable` if the peer is not connected or its queue
     * is full; a full queue also closes the connection.
     */
    expected<void> send(const instance_id& to, const std::string& bytes);
    /** Stops accepting and reconnecting, and closes all connections. */
    void stop();

private:
    struct connection
    {
        bool outgoing = false;
        std::string own_nonce;
        std::string peer_nonce; ///< Empty until the peer has sent it.
        member_info peer;       ///< Valid once `ready` is set.
        bool ready = false;     ///< The peer's proof has been accepted.
    };

    void on_opened(socket_number number, bool outgoing);
    void on_closed(socket_number number);
    void on_received(socket_number number, bool binary,
                     const std::string& payload);
    void on_handshake_message(socket_number number, connection& state,
                              const std::string& payload);
    void reject(socket_number number, const std::string& who,
                const std::string& reason);
    void admit(socket_number number, connection& state, const member_info& who);
    void promote_spare_connection(const instance_id& instance);
    /** Closes the connection if no valid proof comes within
     * handshake_timeout_ms. */
    void start_handshake_timeout(socket_number number);

    boost::asio::io_context& context_;
    peer_link_options options_;
    peer_link_handlers handlers_;
    std::map<socket_number, connection> connections_;
    std::map<instance_id, socket_number> peers_;
    peer_socket sockets_;
};

} // namespace rosemarydeck
