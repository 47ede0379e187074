/** @file credit_service_base.hpp Exchanges parts of budgets with other VMs. */
#pragma once

#include "credit/credit_pool_base.hpp"
#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "peer/peer_socket_base.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace rosemarydeck
{

/** What the service needs to know, and whom it asks. */
struct credit_options
{
    fleet_vm self;
    /** Takes tokens from this VM's share of a budget; suspends the fiber. */
    std::function<credit_reply(const credit_request&)> give;
    /** Notes that other VMs have used what this one gave. */
    std::function<void(const credit_usage&)> used;
    /** Notes what the fleet has consumed of a customer's budget. */
    std::function<void(const customer_id&, token_count)> consumed;
};

/**
 * Asks the VM that holds a customer's budget for parts of it, and answers
 * those that ask this one. On the control thread.
 */
class credit_service
{
public:
    credit_service(boost::asio::io_context& io, credit_options options,
                   credit_pool& pool, event_log& log, gateway_metrics& metrics);

    /** Opens the port for other VMs and starts to keep credit up. */
    void start();
    /** Takes over which VMs there are, and opens connections to those that
     *  hold the customers' budgets in this data centre. */
    void take_fleet(std::vector<fleet_vm> fleet,
                    const std::vector<customer_id>& customers);
    /** Asks for tokens that a request lacks; suspends the fiber, unless
     *  another one asks already and takes this request in.
     *  @return False if no VM gave them. */
    bool ask(const customer_id& customer, token_count tokens);
    /** Holds what this VM took from its own share. */
    void keep(const credit_reply& gift);
    /** Gives back all credit. */
    void close();

    /** @return True if this VM holds the customer's budget for others. */
    [[nodiscard]] bool is_home(const customer_id& customer) const;

private:
    struct pending_ask
    {
        explicit pending_ask(boost::asio::io_context& io) : timer(io) {}

        boost::asio::steady_timer timer;
        std::optional<token_count> given;
    };

    /** A VM that gave no answer of late. */
    struct silence
    {
        time_point until{}; ///< Not asked before.
        time_point forgotten{};
        int times = 0;
    };

    /** What requests lack of a customer's budget. */
    struct demand
    {
        token_count min_amount = 0; ///< Of the smallest request.
        token_count all = 0;
        bool asking = false;
    };

    void on_opened(socket_number number, bool outgoing);
    void on_closed(socket_number number);
    void on_received(socket_number from, const std::string& bytes);
    void take(socket_number from, const credit_request& ask);
    void take(const credit_reply& gift);
    void take(const credit_return& back);
    void take(const credit_usage& use);
    void keep_up();
    void note_silent(const fleet_vm& home, socket_number socket);
    void give_back(const std::vector<credit_return>& credit);
    void report_used();
    bool send_home(const customer_id& customer, const credit_message& message);
    bool ask_homes(const customer_id& customer, const demand& wanted);
    std::optional<token_count> ask_one(const fleet_vm& home,
                                       credit_request ask);
    [[nodiscard]] std::vector<fleet_vm> homes(const customer_id& customer);
    /** Opens a connection if there is none; suspends the fiber. */
    std::optional<socket_number> socket_to(const fleet_vm& home);

    boost::asio::io_context& io_;
    credit_options options_;
    credit_pool& credit_pool_;
    event_log& log_;
    gateway_metrics& metrics_;
    runtime_clock clock_;
    std::vector<fleet_vm> fleet_;
    std::map<std::string, socket_number> sockets_; ///< By IP:PORT.
    std::map<std::string, silence> silent_;
    std::map<std::uint64_t, pending_ask*> pending_;
    std::map<customer_id, demand> demands_;
    std::uint64_t last_number_ = 0;
    bool closing_ = false;
    peer_socket peers_;
};

} // namespace rosemarydeck
