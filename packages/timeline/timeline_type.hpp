/** @file timeline_type.hpp Events of the timeline. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"

#include <cstdint>
#include <string>

namespace rosemarydeck
{

/** Kinds of events on the timeline. */
enum class timeline_kind
{
    request_admitted,
    request_refused,
    /** A duplicate waits for the open request, here or on another VM. */
    request_joined,
    attempt_dispatched,
    attempt_failed,
    first_token,
    request_finished,
    grant_drawn,    ///< A renewal settled the grant and drew 0 or more tokens.
    grant_returned, ///< A renewal gave tokens back to the account.
    grant_recalled, ///< Another data centre asked for unspent tokens.
    grant_sealed,   ///< A VM was declared gone; its grants are closed.
    grant_adopted,  ///< The grant of a VM that is gone was taken over.
    budget_exhausted,
    bills_stored,
    bill_reversed,
    claim_taken, ///< This VM holds the claim on an idempotency key.
    config_in_force,
    config_rejected, ///< A configuration or account object is invalid.
    peer_up,
    peer_down,      ///< Suspected by the failure detector.
    peer_gone,      ///< Declared gone; its grants may be taken over.
    server_leaving, ///< A backend server is being drained.
    platform_lost,  ///< Reading objects from the platform failed.
    platform_back,  ///< Reading objects succeeds again.
    draining,       ///< This VM is being drained.
};

ROSEMARYDECK_JSON_DECLARE(timeline_kind);

/**
 * Hybrid logical time: the wall clock, advanced to the times that peers have
 * sent, so that an effect sorts after its cause across all VMs.
 */
struct hybrid_time
{
    std::int64_t wall_us = 0;  ///< Microseconds since the Unix epoch.
    std::uint32_t counter = 0; ///< Orders times of equal wall_us.

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
    std::string detail; ///< Free text.

    bool operator==(const timeline_event&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(timeline_event);

} // namespace rosemarydeck
