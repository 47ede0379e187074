/** @file config_type.hpp Plans, allowances and the fleet's lists. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/priority_type.hpp"

#include <array>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** Targets of one priority; an answer later than these is refunded. */
struct latency_target
{
    std::int64_t first_token_ms = 0;
    std::int64_t token_gap_ms = 0;
    std::int64_t whole_answer_ms = 0;
    std::int64_t refund_percent = 0; ///< Of the charge, when late.

    bool operator==(const latency_target&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(latency_target);

/** A customer's plan: its budget, keys, weight and targets. */
struct customer_plan
{
    customer_id customer;
    token_count prepaid = 0; ///< All tokens ever paid for.
    std::vector<std::string> api_keys;
    std::int64_t weight = 1;
    std::array<latency_target, priority_count> targets{
        latency_target{1100, 46, 30000, 100},
        latency_target{5000, 100, 120000, 50},
        latency_target{30000, 200, 600000, 20}};

    bool operator==(const customer_plan&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_plan);

/** What a plan may use. */
struct allowance
{
    customer_id customer;
    std::vector<target_id> targets; ///< Models and plain services.
    std::vector<priority> priorities;
    std::int64_t max_concurrent = 64;
    std::int64_t requests_per_minute = 6000;
    token_count max_tokens = 32768; ///< Of one request, in and out.

    bool operator==(const allowance&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(allowance);

/** What a backend server is. */
enum class server_kind
{
    engine,
    service,
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
    std::vector<target_id> targets;
    std::int64_t slots = 8;
    bool checks_fence = false;
    bool resumes = false; ///< Can resume a stream at an offset.
    bool leaving = false;

    bool operator==(const server_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(server_entry);

/** A VM on the platform's lagging list. */
struct vm_entry
{
    vm_id vm;
    dc_id data_centre;
    std::string address;
    std::uint16_t peer_port = 0;
    bool leaving = false;

    bool operator==(const vm_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(vm_entry);

inline const std::string fleet_prefix = "fleet/";
inline const std::string plans_prefix = "fleet/plans/";
inline const std::string allowances_prefix = "fleet/allowances/";
inline const std::string servers_prefix = "fleet/servers/";
inline const std::string vms_prefix = "fleet/vms/";

} // namespace rosemarydeck
