/** @file timeline_type.hpp Events of the time line. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"

#include <cstdint>
#include <string>

namespace rosemarydeck
{

/** Kinds of events on the time line. */
enum class timeline_kind
{
    request_admitted,
    request_refused,
    request_joined,
    attempt_dispatched,
    attempt_failed,
    first_token,
    request_finished,
    grant_drawn,
    grant_returned,
    grant_recalled,
    grant_sealed,
    grant_adopted,
    budget_exhausted,
    bills_stored,
    bill_reversed,
    claim_taken,
    config_in_force,
    config_rejected,
    peer_up,
    peer_down,
    peer_gone,
    server_leaving,
    platform_lost,
    platform_back,
    draining,
};

ROSEMARYDECK_JSON_DECLARE(timeline_kind);

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
ROSEMARYDECK_JSON_DECLARE(hybrid_time);

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
ROSEMARYDECK_JSON_DECLARE(timeline_event);

} // namespace rosemarydeck
