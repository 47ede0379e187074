/** @file settings_table.cpp The table of all settings. */
#include "settings/settings_table.hpp"

#include <array>

namespace rosemarydeck
{

namespace
{

using s = settings;
constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t mebibyte = 1'048'576;

// clang-format off
const std::array rows{
    setting_row{"vm", "name", &s::vm_name, "", "", 0, 0, true,
        "Name of this VM, unique in the fleet."},
    setting_row{"vm", "data_centre", &s::data_centre, "", "", 0, 0, true,
        "Data centre that this VM stands in."},
    setting_row{"vm", "address", &s::address, "", "127.0.0.1", 0, 0, true,
        "IP number on which this VM listens and is reached."},
    setting_row{"vm", "caller_port", &s::caller_port, "port", "8080",
        0, 65535, false, "Port for callers and operators; 0 takes any."},
    setting_row{"vm", "peer_port", &s::peer_port, "port", "8090",
        0, 65535, false, "Port for other VMs; 0 takes any."},
    setting_row{"vm", "traffic_threads", &s::traffic_threads, "threads", "2",
        1, 64, false, "Threads that carry callers' bytes."},
    setting_row{"vm", "max_connections", &s::max_connections, "connections",
        "4000", 1, 100000, false, "Callers' connections open at once."},
    setting_row{"vm", "caller_memory_bytes", &s::caller_memory_bytes, "bytes",
        "536870912", 16 * mebibyte, 1024 * 1024 * mebibyte, false,
        "Memory that callers' connections may make the VM keep."},
    setting_row{"vm", "max_body_bytes", &s::max_body_bytes, "bytes", "1048576",
        1024, 64 * mebibyte, false, "Largest request body."},
    setting_row{"vm", "max_header_bytes", &s::max_header_bytes, "bytes",
        "16384", 1024, mebibyte, false, "Largest request header."},
    setting_row{"vm", "read_timeout_ms", &s::read_timeout_ms, "ms", "15000",
        10, hour_ms, false, "Longest wait for a caller's next bytes."},
    setting_row{"vm", "write_timeout_ms", &s::write_timeout_ms, "ms", "15000",
        10, hour_ms, false, "Longest wait for a caller to read."},
    setting_row{"vm", "drain_limit_ms", &s::drain_limit_ms, "ms", "600000",
        0, hour_ms, false, "Longest wait for open requests at shutdown."},
    setting_row{"peers", "seeds", &s::seeds, "", "", 0, 0, false,
        "Peers to join, as IP:PORT separated by commas."},
    setting_row{"peers", "cluster_key", &s::cluster_key, "", "", 0, 0, true,
        "Secret shared by all VMs; 16 characters or more."},
    setting_row{"peers", "heartbeat_ms", &s::heartbeat_ms, "ms", "500",
        50, 60000, false, "Time between heartbeats."},
    setting_row{"peers", "suspect_ms", &s::suspect_ms, "ms", "2000",
        100, 600000, false, "Silence after which a VM is suspected."},
    setting_row{"peers", "max_queue_bytes", &s::max_queue_bytes, "bytes",
        "4194304", 4096, 256 * mebibyte, false,
        "Bytes that may wait for one peer."},
    setting_row{"platform", "kind", &s::platform_kind, "", "http", 0, 0, true,
        "http for the real service, embedded for a trial on one VM."},
    setting_row{"platform", "address", &s::platform_address, "", "127.0.0.1",
        0, 0, true, "IP number of the platform's object service."},
    setting_row{"platform", "port", &s::platform_port, "port", "8070",
        0, 65535, false, "Port of the platform's object service."},
    setting_row{"platform", "timeout_ms", &s::platform_timeout_ms, "ms",
        "2000", 10, 600000, false, "Longest wait for one platform answer."},
    setting_row{"platform", "trial_file", &s::trial_file, "", "", 0, 0, false,
        "Objects for the embedded platform, as a JSON file."},
    setting_row{"budget", "grant_cover_ms", &s::grant_cover_ms, "ms",
        "3600000", 1000, 24 * hour_ms, false,
        "Length of a cut that a grant is meant to outlast."},
    setting_row{"budget", "grant_minimum", &s::grant_minimum, "tokens",
        "10000", 1, 1'000'000'000, false, "Smallest grant to ask for."},
    setting_row{"budget", "solo_percent", &s::solo_percent, "percent", "20",
        0, 100, false,
        "Part of a grant that may be spent with no other VM as witness."},
    setting_row{"budget", "renew_ms", &s::renew_ms, "ms", "5000",
        100, hour_ms, false, "Time between settlements of a grant in use."},
    setting_row{"bills", "flush_ms", &s::bill_flush_ms, "ms", "1000",
        10, 600000, false, "Longest time that a bill waits for its batch."},
    setting_row{"bills", "key_window_ms", &s::key_window_ms, "ms", "7200000",
        1000, 24 * hour_ms, false,
        "Time for which a finished request's key is remembered."},
    setting_row{"bills", "max_unflushed", &s::max_unflushed_bills, "bills",
        "200000", 10, 10'000'000, false,
        "Bills kept in an outage before new requests are refused."},
    setting_row{"requests", "default_output_tokens", &s::default_output_tokens,
        "tokens", "1024", 1, 1'000'000, false,
        "Reserved when a request names no max_tokens."},
    setting_row{"requests", "max_answer_bytes", &s::max_answer_bytes, "bytes",
        "4194304", 1024, 256 * mebibyte, false,
        "Largest answer that is kept for a retry."},
    setting_row{"requests", "max_open", &s::max_open_requests, "requests",
        "8000", 1, 1'000'000, false, "Requests open at once on this VM."},
    setting_row{"requests", "max_attempts", &s::max_attempts, "attempts", "3",
        1, 10, false, "Tries of one repeatable request."},
    setting_row{"requests", "attempt_timeout_ms", &s::attempt_timeout_ms, "ms",
        "30000", 100, hour_ms, false,
        "Silence of a backend server after which a try has failed."},
    setting_row{"operators", "key", &s::operator_key, "", "", 0, 0, true,
        "Secret of the operators' client; 16 characters or more."},
    setting_row{"log", "level", &s::log_level, "", "info", 0, 0, true,
        "error, warn, info or debug."},
    setting_row{"log", "timeline_events", &s::timeline_events, "events",
        "20000", 16, 1'000'000, false, "Events kept in memory."},
};
// clang-format on

} // namespace

std::span<const setting_row> settings_table()
{
    return rows;
}

} // namespace rosemarydeck
