/** @file traffic_context_type.hpp State of the traffic thread. */
#pragma once

#include "credit/credit_pool_base.hpp"
#include "gateway/engine_connection_pool_base.hpp"
#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "ledger/budget_tail_base.hpp"
#include "ledger/wallet_base.hpp"
#include "router/config_knowledge_base.hpp"
#include "router/crash_record_base.hpp"
#include "router/engine_selector_base.hpp"
#include "router/link_load_base.hpp"
#include "router/memory_account_base.hpp"
#include "router/relay_selector_base.hpp"
#include "router/retry_budget_base.hpp"
#include "router/stream_registry_base.hpp"

#include <atomic>
#include <functional>
#include <set>

namespace rosemarydeck
{

/** A question to the control thread where a stream began. */
struct origin_lookup
{
    stream_id stream; ///< Empty if the client named none.
    service_id service;
    /** The answer; may be read once done is true. */
    std::optional<stream_origin> origin;
    std::atomic<bool> done{false};
};

/** A question to the control thread whether the configuration is current. */
struct config_check
{
    bool from_vm = false; ///< Another VM asks.
    /** Version that was in force when it was confirmed as the newest; none if
     *  nobody could confirm it. May be read once done is true. */
    std::optional<std::uint64_t> confirmed_version;
    std::atomic<bool> done{false};
};

/** Requests and reports to the control thread; callable from any thread. */
struct control_callbacks
{
    /** Requests more of a customer's budget: the headroom lacks the given
     *  tokens for a request. */
    std::function<void(const customer_id&, token_count)> request_budget;
    /** Reports that an engine went down while it processed a request. */
    std::function<void(const crash_sighting&)> report_crash;
    /** Reports that a request suspected of crashing engines was served, and
     *  when its answer began. */
    std::function<void(const std::vector<request_trait>&, time_point)>
        report_suspect_served;
    /** Reports that a request was refused because it crashes engines. */
    std::function<void(const std::vector<request_trait>&)>
        report_crashing_refused;
    /** Reports that a blocked request was sent as a trial. */
    std::function<void(const trait_combination&)> report_trial;
    /** Reports what an incarnation of an engine said of itself. */
    std::function<void(const server_id&, const engine_notice&)> report_notice;
    /** Reports the configuration version that another VM uses. */
    std::function<void(std::uint64_t, const vm_id&)> report_config_version;
    /** Asks whether the configuration in force is the store's newest. */
    std::function<void(std::shared_ptr<config_check>)> check_config;
    /** Asks where a stream that another VM brought began. */
    std::function<void(std::shared_ptr<origin_lookup>)> find_origin;
};

/** State of the traffic thread, shared by all client connections. No other
 *  thread may access it; the wallet, credit, streams, log, metrics and account
 *  that it refers to may be used from any thread. */
struct traffic_context
{
    boost::asio::io_context& io;
    gateway_settings settings;
    wallet& local_wallet;
    credit_pool& credit;
    stream_registry& streams;
    const config_knowledge& knowledge;
    event_log& log;
    gateway_metrics& metrics;
    memory_account& memory;
    control_callbacks control;

    runtime_clock clock{};
    boot_clock confirmation_clock{}; ///< For the ages of confirmations.
    std::shared_ptr<const fleet_view> view{};
    engine_selector selector{};
    budget_tail last_of_budgets{};
    retry_budget retries{settings.retries};
    engine_connection_pool connection_pool{io};
    relay_selector relays{};
    /** When an engine of a service is next probed while none is reached. */
    std::map<service_id, time_point> next_engine_probe{};
    std::size_t engine_probes = 0; ///< Probes so far; chooses the engine.
    /** Trials that this VM has sent and its view doesn't know of yet. */
    std::set<trait_combination> used_trials{};
    /** Customers of streams that were taken up and wait for headroom. Other
     *  requests leave it to them. */
    std::multiset<customer_id> waiting_take_ups{};
    bool draining = false; ///< Answers close their connections.
    /** While draining: when the process stops, and until when the load balancer
     *  may still send new clients. */
    time_point stop_at{};
    time_point balancer_left_at{};
    /** The load balancer sends no new clients. Answers close their connections,
     *  so that the clients move to other VMs. */
    bool out_of_rotation = false;
    link_traffic link_bytes{}; ///< Passed to and from clients and engines.
    link_load link{{.bytes_per_s = settings.link_bits_per_s / 8}};
    std::size_t open_requests = 0; ///< Client requests being read or handled.
};

} // namespace rosemarydeck
