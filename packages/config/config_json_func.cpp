/** @file config_json_func.cpp JSON forms of plans, allowances and lists. */
#include "config/config_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON_WITH_DEFAULT(latency_target, first_token_ms, token_gap_ms,
                               whole_answer_ms, refund_percent)

ROSEMARYDECK_JSON_WITH_DEFAULT(customer_plan, customer, prepaid, api_keys,
                               weight, targets)

ROSEMARYDECK_JSON_WITH_DEFAULT(allowance, customer, targets, priorities,
                               max_concurrent, requests_per_minute, max_tokens)

ROSEMARYDECK_JSON_ENUM(server_kind, {{server_kind::engine, "engine"},
                                     {server_kind::service, "service"}})

ROSEMARYDECK_JSON_WITH_DEFAULT(server_entry, server, data_centre, address, port,
                               kind, targets, slots, checks_fence, resumes,
                               leaving)

ROSEMARYDECK_JSON_WITH_DEFAULT(vm_entry, vm, data_centre, address, peer_port,
                               leaving)

} // namespace rosemarydeck
