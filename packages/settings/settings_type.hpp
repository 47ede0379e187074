/** @file settings_type.hpp The daemon's settings as typed values. */
#pragma once

#include "common/id_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** Everything that a daemon reads from its INI file; settings_table describes
 *  each member with its range. */
struct settings
{
    // [vm]
    std::string vm_name;
    std::string data_centre;
    std::string address;
    std::int64_t caller_port = 0;
    std::int64_t peer_port = 0;
    std::int64_t traffic_threads = 0;
    std::int64_t max_connections = 0;
    std::int64_t caller_memory_bytes = 0;
    std::int64_t max_body_bytes = 0;
    std::int64_t max_header_bytes = 0;
    std::int64_t read_timeout_ms = 0;
    std::int64_t write_timeout_ms = 0;
    std::int64_t drain_limit_ms = 0; ///< Time-out of the drain at shutdown.
    // [peers]
    std::string seeds; ///< IP:PORT of peers to join, separated by commas.
    std::string cluster_key;
    std::int64_t heartbeat_ms = 0;
    std::int64_t suspect_ms = 0; ///< Time-out of the failure detector.
    /** Maximum total size of the messages queued for one peer. */
    std::int64_t max_queue_bytes = 0;
    // [platform]
    std::string platform_kind; ///< http or embedded.
    std::string platform_address;
    std::int64_t platform_port = 0;
    std::int64_t platform_timeout_ms = 0;
    std::string trial_file; ///< JSON objects for the embedded platform.
    // [budget]
    /** Time without the platform that a grant should cover. */
    std::int64_t grant_cover_ms = 0;
    std::int64_t grant_minimum = 0; ///< Smallest grant to ask for, in tokens.
    /** Part of a grant that a VM may spend without another VM as witness. */
    std::int64_t solo_percent = 0;
    std::int64_t renew_ms = 0; ///< Interval of settling a grant in use.
    // [bills]
    /** Longest time that a bill waits for the other bills of its batch. */
    std::int64_t bill_flush_ms = 0;
    /** Time to live of a finished request's idempotency key. */
    std::int64_t key_window_ms = 0;
    std::int64_t max_unflushed_bills = 0;
    // [requests]
    std::int64_t default_output_tokens = 0;
    std::int64_t max_answer_bytes = 0;
    std::int64_t max_open_requests = 0;
    std::int64_t max_attempts = 0; ///< Maximum for one repeatable request.
    /** Longest time without data from a backend server in an attempt. */
    std::int64_t attempt_timeout_ms = 0;
    // [operators]
    std::string operator_key;
    // [log]
    std::string log_level;
    std::int64_t timeline_events = 0; ///< Events kept in memory.

    bool operator==(const settings&) const = default;
};

} // namespace rosemarydeck
