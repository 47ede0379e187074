/** @file peer_socket_base.cpp WebSockets by websocketpp, as C++17. */
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
using handle = websocketpp::connection_hdl;
using handle_order = std::owner_less<handle>;
using library_error = websocketpp::lib::error_code;

constexpr auto binary_frame = websocketpp::frame::opcode::binary;
constexpr auto text_frame = websocketpp::frame::opcode::text;
constexpr unsigned max_doublings = 8;

/** An address that is dialled for as long as the sockets run. */
struct dial_target
{
    std::string address;
    std::uint16_t port = 0;

    bool operator<(const dial_target& other) const
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }
};

/** An open connection of either endpoint. */
struct open_socket
{
    handle at;
    bool outgoing = false;
    std::string target; ///< IP:PORT of an outgoing one.
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
        prepare(server_);
        prepare(client_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](handle at) { on_open(at, false, ""); });
        server_.set_close_handler([this](handle at) { on_close(at); });
    }

    std::uint16_t listen(const std::string& address, std::uint16_t port,
                         std::string& fault)
    {
        using boost::asio::ip::tcp;
        boost::system::error_code wrong;
        const auto where = boost::asio::ip::make_address(address, wrong);
        library_error failed;
        if (!wrong)
            server_.listen(tcp::endpoint(where, port), failed);
        if (!wrong && !failed)
            server_.start_accept(failed);
        if (wrong || failed) {
            fault = wrong ? wrong.message() : failed.message();
            return 0;
        }
        return server_.get_local_endpoint(wrong).port();
    }

    void dial(const dial_target& target)
    {
        if (targets_.insert(target).second)
            connect(target, 0);
    }

    void forget(const dial_target& target) { targets_.erase(target); }

    std::string target(socket_number of) const
    {
        const auto found = sockets_.find(of);
        return found == sockets_.end() ? "" : found->second.target;
    }

    bool send(socket_number to, bool binary, const std::string& bytes)
    {
        const auto found = sockets_.find(to);
        if (found == sockets_.end())
            return false;
        library_error failed;
        const auto frame = binary ? binary_frame : text_frame;
        if (found->second.outgoing)
            client_.send(found->second.at, bytes, frame, failed);
        else
            server_.send(found->second.at, bytes, frame, failed);
        return !failed;
    }

    std::size_t queued(socket_number to)
    {
        const auto found = sockets_.find(to);
        if (found == sockets_.end())
            return 0;
        return found->second.outgoing ? queued_on(client_, found->second.at)
                                      : queued_on(server_, found->second.at);
    }

    void close(socket_number which)
    {
        const auto found = sockets_.find(which);
        if (found == sockets_.end())
            return;
        constexpr auto status = websocketpp::close::status::going_away;
        library_error ignored;
        if (found->second.outgoing)
            client_.close(found->second.at, status, "", ignored);
        else
            server_.close(found->second.at, status, "", ignored);
    }

    void stop()
    {
        stopped_ = true;
        library_error ignored;
        if (server_.is_listening())
            server_.stop_listening(ignored);
        std::set<socket_number> open;
        for (const auto& socket : sockets_)
            open.insert(socket.first);
        for (const auto number : open)
            close(number);
        for (const auto& timer : timers_)
            timer->cancel();
    }

private:
    template <class Endpoint>
    static std::size_t queued_on(Endpoint& endpoint, const handle& at)
    {
        library_error failed;
        const auto connection = endpoint.get_con_from_hdl(at, failed);
        return failed ? 0 : connection->get_buffered_amount();
    }

    template <class Endpoint>
    void prepare(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&context_);
        endpoint.set_max_message_size(options_.max_message_bytes);
        endpoint.set_open_handshake_timeout(options_.handshake_ms);
        endpoint.set_close_handshake_timeout(options_.handshake_ms);
        endpoint.set_message_handler(
            [this](handle at, typename Endpoint::message_ptr message) {
                const auto found = numbers_.find(at);
                if (found != numbers_.end())
                    handlers_.received(found->second,
                                       message->get_opcode() == binary_frame,
                                       message->get_payload());
            });
        endpoint.set_tcp_post_init_handler([&endpoint](handle at) {
            library_error failed;
            const auto connection = endpoint.get_con_from_hdl(at, failed);
            boost::system::error_code ignored;
            if (!failed)
                connection->get_raw_socket().set_option(
                    boost::asio::ip::tcp::no_delay(true), ignored);
        });
    }

    void connect(const dial_target& target, unsigned tries)
    {
        library_error failed;
        const auto connection = client_.get_connection(
            "ws://" + target.address + ":" + std::to_string(target.port),
            failed);
        if (failed)
            return;
        const auto tries_now = std::make_shared<unsigned>(tries);
        const auto again = [this, target, tries_now] {
            redial(target, ++*tries_now);
        };
        connection->set_open_handler([this, tries_now, target](handle at) {
            *tries_now = 0;
            on_open(at, true,
                    target.address + ":" + std::to_string(target.port));
        });
        connection->set_fail_handler([again](handle) { again(); });
        connection->set_close_handler([this, again](handle at) {
            on_close(at);
            again();
        });
        client_.connect(connection);
    }

    void redial(const dial_target& target, unsigned tries)
    {
        if (stopped_ || targets_.count(target) == 0)
            return;
        const auto doublings = std::min(tries - 1, max_doublings);
        const auto full = std::min(options_.reconnect_ms << doublings,
                                   options_.max_reconnect_ms);
        std::uniform_int_distribution<std::int64_t> jitter(full / 2, full);
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context_, std::chrono::milliseconds(jitter(random_)));
        timers_.insert(timer);
        timer->async_wait([this, target, tries, timer](const auto& fault) {
            timers_.erase(timer);
            if (!fault && !stopped_ && targets_.count(target) != 0)
                connect(target, tries);
        });
    }

    void on_open(const handle& at, bool outgoing, std::string target)
    {
        const auto number = ++last_number_;
        sockets_[number] = {at, outgoing, std::move(target)};
        numbers_[at] = number;
        handlers_.opened(number, outgoing);
    }

    void on_close(const handle& at)
    {
        const auto found = numbers_.find(at);
        if (found == numbers_.end())
            return;
        const auto number = found->second;
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
    std::map<handle, socket_number, handle_order> numbers_;
    std::set<std::shared_ptr<boost::asio::steady_timer>> timers_;
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
                                  std::uint16_t port, std::string& fault)
{
    return implementation_->listen(address, port, fault);
}

void peer_socket::dial(const std::string& address, std::uint16_t port)
{
    implementation_->dial({address, port});
}

void peer_socket::forget(const std::string& address, std::uint16_t port)
{
    implementation_->forget({address, port});
}

std::string peer_socket::target(socket_number of) const
{
    return implementation_->target(of);
}

bool peer_socket::send(socket_number to, bool binary, const std::string& bytes)
{
    return implementation_->send(to, binary, bytes);
}

std::size_t peer_socket::queued(socket_number to) const
{
    return implementation_->queued(to);
}

void peer_socket::close(socket_number which)
{
    implementation_->close(which);
}

void peer_socket::stop()
{
    implementation_->stop();
}

} // namespace rosemarydeck
