/** @file peer_link_base.cpp Authenticated message links to the other VMs. */
#include "peer/peer_link_base.hpp"

#include "peer/peer_auth_func.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

std::string text_to_prove(const std::string& sender_nonce,
                          const std::string& receiver_nonce,
                          const member_info& sender)
{
    return sender_nonce + "|" + receiver_nonce + "|" +
           nlohmann::json(sender).dump();
}

tl::unexpected<error> send_error(const instance_id& to,
                                 const std::string& reason)
{
    return tl::unexpected(
        error{error_code::unavailable, "send to peer", to.value(), reason});
}

} // namespace

peer_link::peer_link(boost::asio::io_context& context,
                     peer_link_options options, peer_link_handlers handlers)
    : context_(context), options_(std::move(options)),
      handlers_(std::move(handlers)),
      sockets_(
          context,
          {.max_message_bytes = options_.max_message_bytes,
           .min_reconnect_delay_ms = options_.min_reconnect_delay_ms,
           .max_reconnect_delay_ms = options_.max_reconnect_delay_ms,
           .handshake_timeout_ms = options_.handshake_timeout_ms},
          {.opened = [this](auto number,
                            bool outgoing) { on_opened(number, outgoing); },
           .closed = [this](auto number) { on_closed(number); },
           .received =
               [this](auto number, bool binary, const auto& payload) {
                   on_received(number, binary, payload);
               }})
{
}

expected<std::uint16_t> peer_link::listen()
{
    std::string error_text;
    const auto port = sockets_.listen(options_.self.address,
                                      options_.self.peer_port, error_text);
    if (port == 0)
        return tl::unexpected(error{error_code::unavailable, "listen for peers",
                                    options_.self.address + ":" +
                                        std::to_string(options_.self.peer_port),
                                    error_text});
    options_.self.peer_port = port;
    return port;
}

void peer_link::dial(const std::string& address, std::uint16_t port)
{
    sockets_.dial(address, port);
}

expected<void> peer_link::send(const instance_id& to, const std::string& bytes)
{
    const auto found = peers_.find(to);
    if (found == peers_.end())
        return send_error(to, "not connected");
    if (sockets_.queued(found->second) + bytes.size() >
        options_.max_queue_bytes) {
        // Dropping single messages would break the order of the rest.
        sockets_.close(found->second);
        return send_error(to, "send queue is full, closing the connection");
    }
    if (!sockets_.send(found->second, true, bytes))
        return send_error(to, "connection is closing");
    return {};
}

void peer_link::stop()
{
    sockets_.stop();
}

void peer_link::on_opened(socket_number number, bool outgoing)
{
    auto& state = connections_[number];
    state.outgoing = outgoing;
    state.own_nonce = make_nonce();
    sockets_.send(number, false,
                  nlohmann::json{{"nonce", state.own_nonce}}.dump());
    start_handshake_timeout(number);
}

void peer_link::start_handshake_timeout(socket_number number)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(options_.handshake_timeout_ms));
    timer->async_wait([this, number, timer](const auto& asio_error) {
        const auto found = connections_.find(number);
        if (!asio_error && found != connections_.end() && !found->second.ready)
            sockets_.close(number);
    });
}

void peer_link::on_received(socket_number number, bool binary,
                            const std::string& payload)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    auto& state = found->second;
    if (state.ready && binary)
        handlers_.received(state.peer.instance, payload);
    else if (!state.ready && !binary)
        on_handshake_message(number, state, payload);
    else
        sockets_.close(number);
}

void peer_link::on_handshake_message(socket_number number, connection& state,
                                     const std::string& payload)
{
    const auto json = nlohmann::json::parse(payload, nullptr, false);
    try {
        if (state.peer_nonce.empty()) {
            state.peer_nonce = json.at("nonce").get<std::string>();
            const auto proof =
                make_proof(options_.cluster_key,
                           text_to_prove(state.own_nonce, state.peer_nonce,
                                         options_.self));
            sockets_.send(
                number, false,
                nlohmann::json{{"who", options_.self}, {"proof", proof}}
                    .dump());
            return;
        }
        const auto who = json.at("who").get<member_info>();
        const auto expected_proof =
            make_proof(options_.cluster_key,
                       text_to_prove(state.peer_nonce, state.own_nonce, who));
        if (proofs_equal(expected_proof, json.at("proof").get<std::string>()))
            admit(number, state, who);
        else
            reject(number, who.instance.value(),
                   "proof does not match; check that all VMs have the same "
                   "cluster key");
    }
    catch (const nlohmann::json::exception& exception) {
        reject(number, "", exception.what());
    }
}

void peer_link::reject(socket_number number, const std::string& who,
                       const std::string& reason)
{
    handlers_.failed({error_code::denied, "peer handshake", who, reason});
    sockets_.close(number);
}

void peer_link::admit(socket_number number, connection& state,
                      const member_info& who)
{
    if (who.instance == options_.self.instance) {
        // A seed may be this VM's own address.
        sockets_.close(number);
        return;
    }
    state.peer = who;
    state.ready = true;
    // Two VMs that dial each other have two connections. The second one stays
    // open as a spare: if it were closed, the VM that dialed it would
    // reconnect.
    if (peers_.try_emplace(who.instance, number).second)
        handlers_.connected(who);
}

void peer_link::on_closed(socket_number number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    const auto state = std::move(found->second);
    connections_.erase(found);
    const auto peer = peers_.find(state.peer.instance);
    if (!state.ready || peer == peers_.end() || peer->second != number)
        return;
    peers_.erase(peer);
    handlers_.disconnected(state.peer.instance);
    promote_spare_connection(state.peer.instance);
}

void peer_link::promote_spare_connection(const instance_id& instance)
{
    // Messages may have been lost, so the peer is reported as newly connected.
    for (const auto& [number, state] : connections_) {
        if (!state.ready || state.peer.instance != instance)
            continue;
        peers_[instance] = number;
        handlers_.connected(state.peer);
        return;
    }
}

} // namespace rosemarydeck
