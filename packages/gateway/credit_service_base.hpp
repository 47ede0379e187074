/** @file credit_service_base.hpp Credit requests to and from other VMs. */
#pragma once

#include "credit/credit_pool_base.hpp"
#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "peer/peer_socket_base.hpp"
#include "router/memory_account_base.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace rosemarydeck
{

/** Identity of this VM and callbacks that use its wallet. */
struct credit_options
{
    fleet_vm self;
    /** Charges tokens to this VM's grant for another VM to use; suspends the
     *  fiber. */
    std::function<credit_reply(const credit_request&)> grant_credit;
    /** @return Tokens of the client requests that wait for headroom. */
    std::function<token_count(const customer_id&)> waiting_tokens;
    /** @return Factor on the demand to be covered by credit. */
    std::function<double(const customer_id&)> cover_factor;
    /** Records that other VMs have used credit that this one granted. */
    std::function<void(const credit_usage&)> record_usage;
    /** Records how much of a customer's budget the fleet has consumed. */
    std::function<void(const customer_id&, token_count)> record_consumed;
};

/**
 * Requests credit from home VMs and answers the requests of others. A home VM
 * draws on a customer's shard for its data centre. Runs on the control thread.
 */
class credit_service
{
public:
    credit_service(boost::asio::io_context& io, credit_options options,
                   credit_pool& pool, memory_account& memory, event_log& log,
                   gateway_metrics& metrics);

    /** Listens for other VMs and starts the fiber that maintains credit. */
    void start();
    /** Replaces the list of VMs and connects to the customers' home VMs in
     *  this data centre. */
    void update_fleet(std::vector<fleet_vm> fleet,
                      const std::vector<customer_id>& customers);
    /** Requests tokens for the customer's waiting requests; suspends the
     *  fiber. Returns at once if another fiber is requesting for them.
     *  @param tokens Lacked by the request that calls.
     *  @return False if no VM granted them. */
    bool request_credit(const customer_id& customer, token_count tokens);
    /** Adds credit that was charged to this VM's own grant. */
    void add_credit(const credit_reply& reply);
    /** Returns all credit and reports what was used; suspends the fiber. */
    void close();

    /** @return True if this VM is the customer's home in its data centre. */
    [[nodiscard]] bool is_home(const customer_id& customer) const;

private:
    /** A request that awaits its answer. */
    struct pending_request
    {
        explicit pending_request(boost::asio::io_context& io) : timer(io) {}

        boost::asio::steady_timer timer;
        std::optional<token_count> granted;
    };

    /** A VM that has not answered recently. */
    struct unanswered_peer
    {
        time_point cooldown_end{}; ///< End of the cool-down.
        time_point expires{};      ///< Time at which the count expires.
        int missed = 0;            ///< Answers missed in a row.
    };

    /** Requests of clients that lack tokens of one customer. */
    struct demand
    {
        token_count min_tokens = 0; ///< Size of the smallest one.
        bool requesting = false;    ///< A fiber requests credit for them.
    };

    /** @return False if there is no room for an incoming connection. */
    bool on_accepted(socket_number number);
    void on_ended(socket_number number);
    void on_opened(socket_number number, bool outgoing);
    void on_closed(socket_number number);
    void on_received(socket_number from, const std::string& bytes);
    void handle(socket_number from, const credit_request& request);
    void handle(const credit_reply& reply);
    void handle(const credit_return& returned);
    void handle(const credit_usage& usage);
    void maintain_credit();
    void record_unanswered(const fleet_vm& home, socket_number socket);
    void return_credit(const std::vector<credit_return>& credit);
    void report_used();
    bool send_to_home(const customer_id& customer,
                      const credit_message& message);
    bool request_from_homes(const customer_id& customer, token_count min_tokens,
                            token_count wanted_tokens);
    std::optional<token_count> request_from(const fleet_vm& home,
                                            credit_request request);
    [[nodiscard]] std::vector<fleet_vm>
    reachable_homes(const customer_id& customer);
    /** @return The connection, opened if needed; none on time-out. Suspends
     *  the fiber. */
    std::optional<socket_number> connect_to(const fleet_vm& home);

    boost::asio::io_context& io_;
    credit_options options_;
    credit_pool& credit_pool_;
    memory_account& memory_;
    event_log& log_;
    gateway_metrics& metrics_;
    runtime_clock clock_;
    std::vector<fleet_vm> fleet_;
    std::map<std::string, socket_number> sockets_; ///< By IP:PORT.
    std::map<socket_number, holder_id> holders_;   ///< Incoming connections.
    std::map<std::string, unanswered_peer> unanswered_; ///< By IP:PORT.
    std::map<std::uint64_t, pending_request*> pending_; ///< By request number.
    std::map<customer_id, demand> demands_;
    std::uint64_t last_number_ = 0;
    std::size_t requests_handled_ = 0;
    bool closing_ = false;
    peer_socket peers_;
};

} // namespace rosemarydeck
