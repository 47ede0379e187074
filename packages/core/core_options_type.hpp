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
    member_info self;       ///< Instance that this core decides for.
    std::uint64_t seed = 1; ///< Seed of all random choices.

    /** Period of the heartbeats to all members. */
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /** Time since a member's last heartbeat after which it is suspected. */
    duration suspect_timeout = std::chrono::seconds(2);
    /** Time for which a suspected member is heard before it is live again. */
    duration initial_probation_period = std::chrono::seconds(1);
    /** Maximum of that time, which doubles with each further suspicion. */
    duration max_probation_period = std::chrono::seconds(30);

    /** Time for which a grant is to cover the expected demand. */
    duration grant_coverage_period = std::chrono::hours(1);
    /** Minimum headroom that a grant's renewal aims at, in tokens. */
    token_count min_grant_headroom = 10000;
    /** Share of a grant that may be spent without a witness, in percent. */
    std::int64_t solo_percent = 20;
    /** Period of a grant's renewal, which settles what was spent. */
    duration grant_renewal_interval = std::chrono::seconds(5);
    /** Time for which a reservation may wait for headroom. */
    duration reserve_timeout = std::chrono::seconds(2);

    /** Time for which bills are collected for one write. */
    duration bill_flush_delay = std::chrono::seconds(1);
    /** Time for which the key of an ended request is known. */
    duration key_ttl = std::chrono::hours(2);
    /** Number of unstored bills at which no more tokens are reserved. */
    std::size_t max_unflushed_bills = 200000;

    /** Output tokens reserved for a request that sets no maximum. */
    token_count default_max_output_tokens = 1024;
    /** Tokens charged for one call of a plain service. */
    token_count service_call_tokens = 1;
    /** Maximum number of requests of this VM that have not ended. */
    std::size_t max_open_requests = 8000;
    /** Maximum number of a customer's reservations that wait for headroom. */
    std::size_t max_waiting_reservations = 1000;
    /** Maximum number of attempts of one request. */
    std::uint32_t max_attempts = 3;
    /** Time after which an unanswered request to a peer is sent again. */
    duration peer_resend_interval = std::chrono::milliseconds(300);

    /** Time after which the platform ends a watch without changes. */
    duration config_watch_timeout = std::chrono::seconds(20);
    /** Pause before the first repeat of a failed platform call. */
    duration initial_platform_backoff = std::chrono::milliseconds(100);
    /** Maximum of that pause, which doubles with each failure. */
    duration max_platform_backoff = std::chrono::seconds(5);
    /** Number of VMs of each data centre that watch the configuration. */
    std::size_t watchers_per_data_centre = 2;
};

} // namespace rosemarydeck
