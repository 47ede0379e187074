/** @file peer_link_base.hpp Authenticated connections to the other VMs. */
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
    member_info self; ///< Its peer_port is filled in by listen().
    std::string cluster_key;
    std::size_t max_queue_bytes = 0; ///< Waiting for one peer.
    std::size_t max_message_bytes = 16 * 1'048'576;
    std::int64_t reconnect_ms = 200;
    std::int64_t max_reconnect_ms = 5000;
    std::int64_t handshake_ms = 3000;
};

/** What the link tells; all calls come from the io_context's thread. */
struct peer_link_handlers
{
    std::function<void(const member_info&)> connected;
    std::function<void(const instance_id&)> disconnected;
    std::function<void(const instance_id&, const std::string&)> received;
    std::function<void(const error&)> failed;
};

/**
 * Keeps one authenticated WebSocket to each peer. Both ends prove knowledge
 * of the cluster key over fresh nonces before any message passes. Messages
 * are neither encrypted nor signed after that.
 */
class peer_link
{
public:
    peer_link(boost::asio::io_context& context, peer_link_options options,
              peer_link_handlers handlers);

    /**
     * Starts to accept peers.
     * @return The port, or unavailable if the address can't be used.
     */
    expected<std::uint16_t> listen();
    /** Keeps a connection to an address, retrying until stop(). */
    void dial(const std::string& address, std::uint16_t port);
    /**
     * Sends a message.
     * @return unavailable if the peer is not connected or its queue is full,
     * in which case its connection is closed.
     */
    expected<void> send(const instance_id& to, const std::string& bytes);
    /** Closes everything. */
    void stop();

private:
    struct connection
    {
        bool outgoing = false;
        std::string own_nonce;
        std::string other_nonce;
        member_info peer;
        bool ready = false;
    };

    void on_opened(socket_number number, bool outgoing);
    void on_closed(socket_number number);
    void on_received(socket_number number, bool binary,
                     const std::string& payload);
    void on_handshake(socket_number number, connection& state,
                      const std::string& payload);
    void reject(socket_number number, const std::string& who,
                const std::string& why);
    void admit(socket_number number, connection& state, const member_info& who);
    void take_spare(const instance_id& instance);
    void limit_handshake(socket_number number);

    boost::asio::io_context& context_;
    peer_link_options options_;
    peer_link_handlers handlers_;
    std::map<socket_number, connection> connections_;
    std::map<instance_id, socket_number> peers_;
    peer_socket sockets_;
};

} // namespace rosemarydeck
