/** @file core_timer_type.hpp What a decision core wakes itself for. */
#pragma once

#include "common/id_type.hpp"

#include <variant>

namespace rosemarydeck
{

/** Sends heartbeats and judges members. */
struct heartbeat_timer
{
};

/** Settles and resizes one customer's grant. */
struct renew_timer
{
    customer_id customer;
};

/** Refuses reservations that have waited too long. */
struct waiting_timer
{
    customer_id customer;
};

/** Writes bills. */
struct bills_timer
{
};

/** Asks the platform for configuration again. */
struct config_timer
{
};

/** Looks after one caller's request: resends, deadlines. */
struct request_timer
{
    request_id id;
};

/** Repeats a claim's platform call. */
struct claim_timer
{
    request_id id;
};

/** Repeats an adoption's platform call. */
struct adoption_timer
{
    instance_id lost;
    customer_id customer;
};

/** Forgets finished keys whose window is over. */
struct expiry_timer
{
};

/** Any timer of a decision core. */
using core_timer = std::variant<heartbeat_timer, renew_timer, waiting_timer,
                                bills_timer, config_timer, request_timer,
                                claim_timer, adoption_timer, expiry_timer>;

} // namespace rosemarydeck
