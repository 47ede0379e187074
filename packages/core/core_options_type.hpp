/** @file core_options_type.hpp Settings of a decision core. */
#pragma once

#include "common/time_type.hpp"
#include "member/member_type.hpp"

#include <cstdint>

namespace rosemarydeck
{

/** Settings of one decision core. */
struct core_options
{
    member_info self;
    std::uint64_t seed = 1; ///< Of all random choices.

    duration heartbeat_interval = std::chrono::milliseconds(500);
    duration suspect_timeout = std::chrono::seconds(2);
    duration probation = std::chrono::seconds(1);
    duration max_probation = std::chrono::seconds(30);

    duration grant_cover = std::chrono::hours(1);
    token_count grant_minimum = 10000;
    std::int64_t solo_percent = 20;
    duration renewal_interval = std::chrono::seconds(5);
    duration reserve_timeout = std::chrono::seconds(2);

    duration bill_flush_delay = std::chrono::seconds(1);
    duration key_ttl = std::chrono::hours(2);
    std::size_t max_unflushed_bills = 200000;

    token_count default_max_output = 1024;
    token_count service_cost = 1; ///< Charged for one plain call.
    std::size_t max_open_requests = 8000;
    std::size_t max_waiting_reservations = 1000; ///< For one customer.
    std::uint32_t max_attempts = 3;
    duration resend_interval = std::chrono::milliseconds(300);

    duration watch_timeout = std::chrono::seconds(20);
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(5);
    std::size_t watchers_per_data_centre = 2; ///< In each data centre.
};

} // namespace rosemarydeck
