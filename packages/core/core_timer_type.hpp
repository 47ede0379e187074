/** @file core_timer_type.hpp Timers of a decision core. */
#pragma once

#include "common/id_type.hpp"

#include <variant>

namespace rosemarydeck
{

/** Sends heartbeats and checks the members' time-outs. */
struct heartbeat_timer
{
};

/** Renews a customer's grant: settles its usage and resizes it. */
struct renew_timer
{
    customer_id customer;
};

/** Refuses a customer's reservations that waited for reserve_timeout. */
struct waiting_timer
{
    customer_id customer;
};

/** Writes a batch of bills to the platform. */
struct bills_timer
{
};

/** Watches the platform's configuration again. */
struct config_timer
{
};

/** Resends a request's peer message, or ends it at its deadline. */
struct request_timer
{
    request_id id;
};

/** Reads a claim again after a failed platform call. */
struct claim_timer
{
    request_id id;
};

/** Repeats a failed platform call of an adoption. */
struct adoption_timer
{
    instance_id lost;
    customer_id customer; ///< Empty when the lost VM's bills are listed.
};

/** Removes the state of keys older than core_options::key_ttl. */
struct expiry_timer
{
};

/** Any timer of a decision core. */
using core_timer = std::variant<heartbeat_timer, renew_timer, waiting_timer,
                                bills_timer, config_timer, request_timer,
                                claim_timer, adoption_timer, expiry_timer>;

} // namespace rosemarydeck
