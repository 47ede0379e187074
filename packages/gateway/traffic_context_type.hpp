/** @file traffic_context_type.hpp What all connections of a thread share. */
#pragma once

#include "credit/credit_purse_base.hpp"
#include "gateway/engine_pool_base.hpp"
#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "ledger/wallet_base.hpp"
#include "router/placement_base.hpp"
#include "router/retry_budget_base.hpp"

#include <functional>

namespace rosemarydeck
{

/** What the traffic thread asks of the control thread; callable from any. */
struct control_calls
{
    /** A request lacks tokens of a customer's budget. */
    std::function<void(const customer_id&, token_count)> want_grant;
    /** An engine went down while it had a request. */
    std::function<void(const request_fingerprint&, const server_id&)>
        crash_seen;
    /** A suspected request was served. */
    std::function<void(const request_fingerprint&)> crash_cleared;
};

/** State of the traffic thread; touched by no other. */
struct traffic_context
{
    boost::asio::io_context& io;
    gateway_settings settings;
    wallet& purse;
    credit_purse& credit;
    event_log& log;
    gateway_metrics& metrics;
    control_calls control;

    runtime_clock clock{};
    std::shared_ptr<const fleet_view> view{};
    placement_book places{};
    retry_budget retries{settings.retries};
    engine_pool pool{io};
    bool draining = false;
    std::size_t open_requests = 0;
};

} // namespace rosemarydeck
