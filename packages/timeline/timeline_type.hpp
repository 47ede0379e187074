/** @file timeline_type.hpp Events of the time line. */
#pragma once

#include "common/id_type.hpp"

#include <cstdint>
#include <string>

namespace rosemarydeck {

/** Kinds of events on the time line. */
enum class timeline_kind
{
    request_admitted,
    request_refused,
    request_joined,
    attempt_dispatched,
    attempt_failed,
    first_token,
    request_settled,
    request_finished,
    grant_drawn,
    grant_returned,
    grant_recalled,
    grant_sealed,
    grant_adopted,
    budget_exhausted,
    bills_stored,
    claim_taken,
    config_in_force,
    config_rejected,
    peer_up,
    peer_down,
    peer_gone,
    server_up,
    server_leaving,
    server_failed,
    request_suspected,
    platform_lost,
    platform_back,
    draining,
};

// clang-format off
NLOHMANN_JSON_SERIALIZE_ENUM(timeline_kind, {
    {timeline_kind::request_admitted, "request_admitted"},
    {timeline_kind::request_refused, "request_refused"},
    {timeline_kind::request_joined, "request_joined"},
    {timeline_kind::attempt_dispatched, "attempt_dispatched"},
    {timeline_kind::attempt_failed, "attempt_failed"},
    {timeline_kind::first_token, "first_token"},
    {timeline_kind::request_settled, "request_settled"},
    {timeline_kind::request_finished, "request_finished"},
    {timeline_kind::grant_drawn, "grant_drawn"},
    {timeline_kind::grant_returned, "grant_returned"},
    {timeline_kind::grant_recalled, "grant_recalled"},
    {timeline_kind::grant_sealed, "grant_sealed"},
    {timeline_kind::grant_adopted, "grant_adopted"},
    {timeline_kind::budget_exhausted, "budget_exhausted"},
    {timeline_kind::bills_stored, "bills_stored"},
    {timeline_kind::claim_taken, "claim_taken"},
    {timeline_kind::config_in_force, "config_in_force"},
    {timeline_kind::config_rejected, "config_rejected"},
    {timeline_kind::peer_up, "peer_up"},
    {timeline_kind::peer_down, "peer_down"},
    {timeline_kind::peer_gone, "peer_gone"},
    {timeline_kind::server_up, "server_up"},
    {timeline_kind::server_leaving, "server_leaving"},
    {timeline_kind::server_failed, "server_failed"},
    {timeline_kind::request_suspected, "request_suspected"},
    {timeline_kind::platform_lost, "platform_lost"},
    {timeline_kind::platform_back, "platform_back"},
    {timeline_kind::draining, "draining"}})
// clang-format on

/**
 * A hybrid logical time: the wall clock, carried ahead by what peers have
 * sent, so that effects sort behind their causes over all VMs.
 */
struct hybrid_time
{
    std::int64_t wall_us = 0; ///< Microseconds since the Unix epoch.
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hybrid_time, wall_us, counter)

/** One event of one VM. */
struct timeline_event
{
    hybrid_time when;
    vm_id vm;
    dc_id data_centre;
    timeline_kind kind = timeline_kind::request_admitted;
    customer_id customer;
    idempotency_key key;
    std::string detail;

    bool operator==(const timeline_event&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(timeline_event, when, vm, data_centre, kind,
                                   customer, key, detail)

} // namespace rosemarydeck
