/** @file settings_type.hpp The daemon's settings as typed values. */
#pragma once

#include "common/id_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemarydeck
{

/** Everything that a daemon reads from its INI file. */
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
    std::int64_t max_body_bytes = 0;
    std::int64_t max_header_bytes = 0;
    std::int64_t read_timeout_ms = 0;
    std::int64_t write_timeout_ms = 0;
    std::int64_t drain_limit_ms = 0;
    // [peers]
    std::string seeds;
    std::string cluster_key;
    std::int64_t heartbeat_ms = 0;
    std::int64_t suspect_ms = 0;
    std::int64_t max_queue_bytes = 0;
    // [platform]
    std::string platform_kind;
    std::string platform_address;
    std::int64_t platform_port = 0;
    std::int64_t platform_timeout_ms = 0;
    std::string trial_file;
    // [budget]
    std::int64_t grant_cover_ms = 0;
    std::int64_t grant_minimum = 0;
    std::int64_t solo_percent = 0;
    std::int64_t renew_ms = 0;
    // [bills]
    std::int64_t bill_flush_ms = 0;
    std::int64_t key_window_ms = 0;
    std::int64_t max_unflushed_bills = 0;
    // [requests]
    std::int64_t default_output_tokens = 0;
    std::int64_t max_answer_bytes = 0;
    std::int64_t max_open_requests = 0;
    std::int64_t max_attempts = 0;
    std::int64_t attempt_timeout_ms = 0;
    // [operators]
    std::string operator_key;
    // [log]
    std::string log_level;
    std::int64_t timeline_events = 0;

    bool operator==(const settings&) const = default;
};

} // namespace rosemarydeck
