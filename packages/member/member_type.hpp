/** @file member_type.hpp Members of the fleet and their states. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/time_type.hpp"

namespace rosemarydeck
{

/** One instance of the daemon: its identity and addresses. */
struct member_info
{
    instance_id instance;
    vm_id vm;
    dc_id data_centre;
    std::string address;           ///< Address of its VM.
    std::uint16_t peer_port = 0;   ///< For other instances.
    std::uint16_t caller_port = 0; ///< For customers.
    /** Start number; grows with each start on the VM. */
    std::uint64_t started = 0;

    bool operator==(const member_info&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(member_info);

/** State of a member according to the failure detector. */
enum class member_state
{
    probation, ///< Sends heartbeats again after a suspicion; not yet live.
    live,      ///< Sends heartbeats; may own customers.
    suspected, ///< Without heartbeats or connection, or draining.
    gone,      ///< Ended, or announced its shutdown; a final state.
};

/** A change of a member's state. */
struct member_change
{
    instance_id instance;
    member_state state = member_state::live;

    bool operator==(const member_change&) const = default;
};

} // namespace rosemarydeck
