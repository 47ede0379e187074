/** @file traffic_context_type.hpp What all connections of a thread share. */
#pragma once

#include "credit/credit_pool_base.hpp"
#include "gateway/engine_pool_base.hpp"
#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "ledger/wallet_base.hpp"
#include "router/engine_selector_base.hpp"
#include "router/retry_budget_base.hpp"

#include <functional>

namespace rosemarydeck
{

/** What the traffic thread asks of the control thread; callable from any. */
struct control_callbacks
{
    /** A request lacks tokens of a customer's budget. */
    std::function<void(const customer_id&, token_count)> request_budget;
    /** An engine went down while it had a request. */
    std::function<void(const request_fingerprint&, const server_id&)>
        report_crash;
    /** A suspected request was served. */
    std::function<void(const request_fingerprint&)> report_suspect_served;
};

/** State of the traffic thread; touched by no other. */
struct traffic_context
{
    boost::asio::io_context& io;
    gateway_settings settings;
    wallet& local_wallet;
    credit_pool& credit;
    event_log& log;
    gateway_metrics& metrics;
    control_callbacks control;

    runtime_clock clock{};
    std::shared_ptr<const fleet_view> view{};
    engine_selector selector{};
    retry_budget retries{settings.retries};
    engine_pool pool{io};
    bool draining = false;
    std::size_t open_requests = 0;
};

} // namespace rosemarydeck
