/** @file crash_record_base.hpp Record of requests that crash engines. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** Hashes what identifies a request.
 *  @param target Path with query.
 *  @param caller Customer or API key.
 *  @return 16 hexadecimal digits. */
request_fingerprint fingerprint_of(const std::string& method,
                                   const std::string& target,
                                   const std::string& caller,
                                   const std::string& body);

/** When requests are blocked because they crash engines. */
struct crash_options
{
    /** Number of different engines that a request must have crashed to be
     *  blocked. */
    std::size_t min_crashed_engines = 3;
    /** How long a crash seen by this VM, and a report received from another
     *  VM, is counted. */
    duration crash_ttl = milliseconds(60'000);
};

/** For each request, the engines that crashed while they had it. */
using crashes_by_request = std::map<request_fingerprint, std::set<server_id>>;

/** The crashes that one VM saw, as published to the other VMs. */
struct vm_crashes
{
    crashes_by_request requests;

    bool operator==(const vm_crashes&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_crashes);

/**
 * Counts, for each request, the engines that crashed while they had it, as
 * seen by this VM and reported by other VMs. A harmless request that ran on a
 * crashed engine beside the faulty one is cleared when an engine serves it.
 */
class crash_record
{
public:
    explicit crash_record(crash_options options = {});

    /** Records that an engine crashed while it had the request. */
    void record_crash(const request_fingerprint& request,
                      const server_id& engine, time_point now);
    /** Removes the crashes that this VM saw of a request, after an engine
     *  served it. */
    void clear(const request_fingerprint& request);
    /** Replaces the crashes reported by another VM. */
    void replace_peer_crashes(const vm_id& vm, crashes_by_request crashes,
                              time_point now);

    /** @return Crashes that this VM saw within the time to live. */
    [[nodiscard]] crashes_by_request own(time_point now);
    /** @return Requests that must not be sent to any engine. */
    [[nodiscard]] std::set<request_fingerprint> blocked(time_point now);

private:
    struct peer_report
    {
        crashes_by_request crashes;
        time_point received{};
    };

    crash_options options_;
    std::map<request_fingerprint, std::map<server_id, time_point>> own_crashes_;
    std::map<vm_id, peer_report> reports_;
};

} // namespace rosemarydeck
