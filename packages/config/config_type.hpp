/** @file config_type.hpp Plans, allowances and lists of servers and VMs. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/priority_type.hpp"

#include <array>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** Latency targets of one priority, and the refund for a late answer. */
struct latency_target
{
    std::int64_t first_token_ms = 0;  ///< Time to the first token.
    std::int64_t token_gap_ms = 0;    ///< Time between two tokens.
    std::int64_t whole_answer_ms = 0; ///< Time to the end of the answer.
    std::int64_t refund_percent = 0;  ///< Refund in percent of the charge.

    bool operator==(const latency_target&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(latency_target);

/** A customer's plan: budget, API keys, weight and latency targets. */
struct customer_plan
{
    customer_id customer;
    token_count prepaid = 0; ///< Sum of all tokens bought so far.
    std::vector<std::string> api_keys;
    std::int64_t weight = 1; ///< Relative weight in the request queues.
    /** Latency targets by priority, the most urgent first. */
    std::array<latency_target, priority_count> targets{
        latency_target{1100, 46, 30000, 100},
        latency_target{5000, 100, 120000, 50},
        latency_target{30000, 200, 600000, 20}};

    bool operator==(const customer_plan&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_plan);

/** What a customer may use, and how much at a time. */
struct allowance
{
    customer_id customer;
    std::vector<target_id> targets; ///< Models and services.
    std::vector<priority> priorities;
    std::int64_t max_concurrent = 64;        ///< Open requests.
    std::int64_t requests_per_minute = 6000; ///< Rate limit.
    token_count max_tokens = 32768; ///< Input and output of one request.

    bool operator==(const allowance&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(allowance);

/** Kind of a backend server. */
enum class server_kind
{
    engine,  ///< Runs models. The router calls every backend server an engine.
    service, ///< Serves plain requests.
};
ROSEMARYDECK_JSON_DECLARE(server_kind);

/** A backend server on the platform's list. */
struct server_entry
{
    server_id server;
    dc_id data_centre;
    std::string address;
    std::uint16_t port = 0;
    server_kind kind = server_kind::engine;
    std::vector<target_id> targets; ///< Models or services that it serves.
    std::int64_t slots = 8;         ///< Requests that run concurrently.
    /** Checks the X-Fence header, a number that grows with each attempt that a
     *  VM sends. */
    bool checks_fence = false;
    bool resumes = false; ///< Can resume a stream at an offset.
    bool leaving = false; ///< Gets no new requests.

    bool operator==(const server_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(server_entry);

/** A VM on the platform's list. The list lags behind the fleet. */
struct vm_entry
{
    vm_id vm;
    dc_id data_centre;
    std::string address;
    std::uint16_t peer_port = 0; ///< Port for connections of other VMs.
    bool leaving = false;

    bool operator==(const vm_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(vm_entry);

// Prefixes of the names of the platform's objects.
inline const std::string fleet_prefix = "fleet/";
inline const std::string plans_prefix = "fleet/plans/";
inline const std::string allowances_prefix = "fleet/allowances/";
inline const std::string servers_prefix = "fleet/servers/";
inline const std::string vms_prefix = "fleet/vms/";

} // namespace rosemarydeck
