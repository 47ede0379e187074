/** @file relay_header_type.hpp Header fields between VMs of the fleet. */
#pragma once

#include "common/id_type.hpp"

namespace rosemarydeck
{

/** Of a request that a VM passes on: engines to which it was sent before. */
constexpr const char* relay_sends_field = "Rosemarydeck-Sends";
/** Of the answer: this VM reaches no engine either, the request did not run. */
constexpr const char* relay_no_engine_field = "Rosemarydeck-No-Engine";
/** Of the request and of its answer: the sender's configuration version. */
constexpr const char* relay_config_field = "Rosemarydeck-Config";
/** Of the request: the VM that passes it on. */
constexpr const char* relay_vm_field = "Rosemarydeck-Vm";
/** Of the request: the VM that passes it on has reserved its tokens. */
constexpr const char* relay_paid_field = "Rosemarydeck-Paid";
/** Of a request for the configuration: the VM is to tell whether its version is
 *  the newest, as known for at most so many milliseconds. */
constexpr const char* relay_confirm_field = "Rosemarydeck-Confirm-Within-Ms";
/** Of the answer: milliseconds since its version was the newest for certain;
 *  missing if that isn't known. */
constexpr const char* relay_confirmed_field = "Rosemarydeck-Confirmed-Ms";
/** Path at which a VM gives others its configuration, if that is newer than
 *  the version in relay_config_field. */
constexpr const char* config_copy_path = "/rosemarydeck/configuration";

/** What a VM says of itself and of a request that it passes on. */
struct relayed_request
{
    std::uint32_t sends = 0; ///< Sends to engines before.
    /** Its configuration version; 0 if it tells none. */
    std::uint64_t config_version = 0;
    vm_id vm;          ///< Its name; empty if it tells none.
    bool paid = false; ///< It has reserved the tokens and charges them.

    bool operator==(const relayed_request&) const = default;
};

} // namespace rosemarydeck
