/** @file peer_socket_base.cpp Implements peer_socket with websocketpp, which
 *  compiles only up to C++17. */
#include "peer/peer_socket_base.hpp"

#include <map>
#include <random>
#include <set>
#include <tuple>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace rosemarydeck
{

namespace
{

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using connection_handle = websocketpp::connection_hdl;
using handle_order = std::owner_less<connection_handle>;
using ws_error_code = websocketpp::lib::error_code;

constexpr auto binary_frame = websocketpp::frame::opcode::binary;
constexpr auto text_frame = websocketpp::frame::opcode::text;
constexpr unsigned max_delay_doublings = 8;

/** Address of an outgoing connection that is kept up. */
struct dial_target
{
    std::string address;
    std::uint16_t port = 0;

    bool operator<(const dial_target& other) const
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }
};

/** Open connection of the server or the client endpoint. */
struct open_socket
{
    connection_handle handle;
    bool outgoing = false;
    std::string target; ///< IP:PORT of an outgoing connection, else empty.
};

} // namespace

class peer_socket::implementation
{
public:
    implementation(boost::asio::io_context& context,
                   peer_socket_options options, peer_socket_handlers handlers)
        : context_(context), options_(options), handlers_(std::move(handlers)),
          random_(std::random_device()())
    {
        configure_endpoint(server_);
        configure_endpoint(client_);
        server_.set_reuse_addr(true);
        server_.set_open_handler(
            [this](connection_handle handle) { on_open(handle, false, ""); });
        server_.set_close_handler([this](connection_handle handle) {
            on_close(handle);
            on_ended(handle);
        });
        server_.set_fail_handler(
            [this](connection_handle handle) { on_ended(handle); });
        server_.set_tcp_post_init_handler([this](connection_handle handle) {
            set_no_delay(server_, handle);
            on_accepted(handle);
        });
        client_.set_tcp_post_init_handler([this](connection_handle handle) {
            set_no_delay(client_, handle);
        });
    }

    std::uint16_t listen(const std::string& address, std::uint16_t port,
                         std::string& error_text)
    {
        using boost::asio::ip::tcp;
        boost::system::error_code asio_error;
        const auto ip_address =
            boost::asio::ip::make_address(address, asio_error);
        ws_error_code ws_error;
        if (!asio_error)
            server_.listen(tcp::endpoint(ip_address, port), ws_error);
        if (!asio_error && !ws_error)
            server_.start_accept(ws_error);
        if (asio_error || ws_error) {
            error_text = asio_error ? asio_error.message() : ws_error.message();
            return 0;
        }
        return server_.get_local_endpoint(asio_error).port();
    }

    void dial(const dial_target& target)
    {
        if (targets_.insert(target).second)
            connect(target, 0);
    }

    void forget(const dial_target& target) { targets_.erase(target); }

    std::string target(socket_number socket) const
    {
        const auto found = sockets_.find(socket);
        return found == sockets_.end() ? "" : found->second.target;
    }

    bool send(socket_number socket, bool binary, const std::string& bytes)
    {
        const auto found = sockets_.find(socket);
        if (found == sockets_.end())
            return false;
        ws_error_code ws_error;
        const auto frame = binary ? binary_frame : text_frame;
        if (found->second.outgoing)
            client_.send(found->second.handle, bytes, frame, ws_error);
        else
            server_.send(found->second.handle, bytes, frame, ws_error);
        return !ws_error;
    }

    std::size_t queued(socket_number socket)
    {
        const auto found = sockets_.find(socket);
        if (found == sockets_.end())
            return 0;
        return found->second.outgoing
                   ? unsent_bytes(client_, found->second.handle)
                   : unsent_bytes(server_, found->second.handle);
    }

    void close(socket_number socket)
    {
        const auto found = sockets_.find(socket);
        if (found == sockets_.end())
            return;
        constexpr auto status = websocketpp::close::status::going_away;
        ws_error_code ignored;
        if (found->second.outgoing)
            client_.close(found->second.handle, status, "", ignored);
        else
            server_.close(found->second.handle, status, "", ignored);
    }

    void abort(socket_number socket)
    {
        const auto found = accepted_.find(socket);
        if (found == accepted_.end())
            return;
        ws_error_code ws_error;
        const auto connection =
            server_.get_con_from_hdl(found->second, ws_error);
        boost::system::error_code ignored;
        if (!ws_error)
            connection->get_raw_socket().close(ignored);
    }

    void stop()
    {
        stopped_ = true;
        ws_error_code ignored;
        if (server_.is_listening())
            server_.stop_listening(ignored);
        std::set<socket_number> open;
        for (const auto& socket : sockets_)
            open.insert(socket.first);
        for (const auto number : open)
            close(number);
        for (const auto& timer : retry_timers_)
            timer->cancel();
    }

private:
    template <class Endpoint>
    static std::size_t unsent_bytes(Endpoint& endpoint,
                                    const connection_handle& handle)
    {
        ws_error_code ws_error;
        const auto connection = endpoint.get_con_from_hdl(handle, ws_error);
        return ws_error ? 0 : connection->get_buffered_amount();
    }

    template <class Endpoint>
    void configure_endpoint(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&context_);
        endpoint.set_max_message_size(options_.max_message_bytes);
        endpoint.set_open_handshake_timeout(options_.handshake_timeout_ms);
        endpoint.set_close_handshake_timeout(options_.handshake_timeout_ms);
        endpoint.set_message_handler(
            [this](connection_handle handle,
                   typename Endpoint::message_ptr message) {
                const auto found = numbers_.find(handle);
                if (found != numbers_.end())
                    handlers_.received(found->second,
                                       message->get_opcode() == binary_frame,
                                       message->get_payload());
            });
    }

    template <class Endpoint>
    static void set_no_delay(Endpoint& endpoint,
                             const connection_handle& handle)
    {
        ws_error_code ws_error;
        const auto connection = endpoint.get_con_from_hdl(handle, ws_error);
        boost::system::error_code ignored;
        if (!ws_error)
            connection->get_raw_socket().set_option(
                boost::asio::ip::tcp::no_delay(true), ignored);
    }

    void on_accepted(const connection_handle& handle)
    {
        const auto number = ++last_number_;
        accepted_[number] = handle;
        numbers_[handle] = number;
        if (handlers_.accepted && !handlers_.accepted(number))
            abort(number);
    }

    void on_ended(const connection_handle& handle)
    {
        const auto found = numbers_.find(handle);
        if (found == numbers_.end())
            return;
        const auto number = found->second;
        numbers_.erase(found);
        accepted_.erase(number);
        if (handlers_.ended)
            handlers_.ended(number);
    }

    void connect(const dial_target& target, unsigned past_failures)
    {
        ws_error_code ws_error;
        const auto connection = client_.get_connection(
            "ws://" + target.address + ":" + std::to_string(target.port),
            ws_error);
        if (ws_error)
            return;
        const auto failures = std::make_shared<unsigned>(past_failures);
        const auto retry = [this, target, failures] {
            schedule_retry(target, ++*failures);
        };
        connection->set_open_handler(
            [this, failures, target](connection_handle handle) {
                *failures = 0;
                on_open(handle, true,
                        target.address + ":" + std::to_string(target.port));
            });
        connection->set_fail_handler([retry](connection_handle) { retry(); });
        connection->set_close_handler([this, retry](connection_handle handle) {
            on_close(handle);
            retry();
        });
        client_.connect(connection);
    }

    void schedule_retry(const dial_target& target, unsigned failures)
    {
        if (stopped_ || targets_.count(target) == 0)
            return;
        const auto doublings = std::min(failures - 1, max_delay_doublings);
        const auto delay_ms =
            std::min(options_.min_reconnect_delay_ms << doublings,
                     options_.max_reconnect_delay_ms);
        std::uniform_int_distribution<std::int64_t> jitter(delay_ms / 2,
                                                           delay_ms);
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context_, std::chrono::milliseconds(jitter(random_)));
        retry_timers_.insert(timer);
        timer->async_wait(
            [this, target, failures, timer](const auto& asio_error) {
                retry_timers_.erase(timer);
                if (!asio_error && !stopped_ && targets_.count(target) != 0)
                    connect(target, failures);
            });
    }

    void on_open(const connection_handle& handle, bool outgoing,
                 std::string target)
    {
        if (outgoing)
            numbers_[handle] = ++last_number_;
        const auto number = numbers_[handle];
        sockets_[number] = {handle, outgoing, std::move(target)};
        handlers_.opened(number, outgoing);
    }

    void on_close(const connection_handle& handle)
    {
        const auto found = numbers_.find(handle);
        if (found == numbers_.end())
            return;
        const auto number = found->second;
        // Incoming ones end in on_ended().
        if (accepted_.count(number) == 0)
            numbers_.erase(found);
        sockets_.erase(number);
        handlers_.closed(number);
    }

    boost::asio::io_context& context_;
    peer_socket_options options_;
    peer_socket_handlers handlers_;
    std::mt19937_64 random_;
    server_endpoint server_;
    client_endpoint client_;
    bool stopped_ = false;
    socket_number last_number_ = 0;
    std::set<dial_target> targets_;
    std::map<socket_number, open_socket> sockets_;
    std::map<connection_handle, socket_number, handle_order> numbers_;
    /** Incoming connections, those before their handshake included. */
    std::map<socket_number, connection_handle> accepted_;
    std::set<std::shared_ptr<boost::asio::steady_timer>> retry_timers_;
};

peer_socket::peer_socket(boost::asio::io_context& context,
                         peer_socket_options options,
                         peer_socket_handlers handlers)
    : implementation_(std::make_unique<implementation>(context, options,
                                                       std::move(handlers)))
{
}

peer_socket::~peer_socket() = default;

std::uint16_t peer_socket::listen(const std::string& address,
                                  std::uint16_t port, std::string& error_text)
{
    return implementation_->listen(address, port, error_text);
}

void peer_socket::dial(const std::string& address, std::uint16_t port)
{
    implementation_->dial({address, port});
}

void peer_socket::forget(const std::string& address, std::uint16_t port)
{
    implementation_->forget({address, port});
}

std::string peer_socket::target(socket_number socket) const
{
    return implementation_->target(socket);
}

bool peer_socket::send(socket_number socket, bool binary,
                       const std::string& bytes)
{
    return implementation_->send(socket, binary, bytes);
}

std::size_t peer_socket::queued(socket_number socket) const
{
    return implementation_->queued(socket);
}

void peer_socket::close(socket_number socket)
{
    implementation_->close(socket);
}

void peer_socket::abort(socket_number socket)
{
    implementation_->abort(socket);
}

void peer_socket::stop()
{
    implementation_->stop();
}

} // namespace rosemarydeck
