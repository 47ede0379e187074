/** @file member_type.hpp What is known of another VM. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "common/time_type.hpp"

namespace rosemarydeck
{

/** One run of a daemon: who it is and where it is reached. */
struct member_info
{
    instance_id instance;
    vm_id vm;
    dc_id data_centre;
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint16_t caller_port = 0;
    std::uint64_t started = 0; ///< Grows with each start on one VM.

    bool operator==(const member_info&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(member_info);

/** How much a member is trusted with work. */
enum class member_state
{
    probation, ///< Heard again after a suspicion, not yet counted on.
    live,
    suspected, ///< Silent, or its connection is lost.
    gone,      ///< Known to have ended; never comes back.
};

/** A change of a member's state. */
struct member_change
{
    instance_id instance;
    member_state state = member_state::live;

    bool operator==(const member_change&) const = default;
};

} // namespace rosemarydeck
