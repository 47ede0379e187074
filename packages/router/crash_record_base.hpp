/** @file crash_record_base.hpp Requests that crash the engines that run them.
 */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** @param target Path with query. @param caller Customer or key. */
request_fingerprint fingerprint_of(const std::string& method,
                                   const std::string& target,
                                   const std::string& caller,
                                   const std::string& body);

/** When a request counts as one that crashes engines. */
struct crash_options
{
    std::size_t limit = 3; ///< Engines after which it is sent nowhere.
    duration memory = milliseconds(60'000);
};

/** Engines that went down while they had a request. */
using crashed_engines = std::map<request_fingerprint, std::set<server_id>>;

/** What one VM has seen, as it tells the others. */
struct vm_crashes
{
    crashed_engines requests;

    bool operator==(const vm_crashes&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_crashes);

/**
 * Counts engines that went down with a request, as seen on this VM and told
 * by others. Requests that ran beside it are cleared when they are served.
 */
class crash_record
{
public:
    explicit crash_record(crash_options options = {});

    /** Notes that an engine went down while it had the request. */
    void record_crash(const request_fingerprint& request,
                      const server_id& engine, time_point now);
    /** Forgets what this VM saw of a request that was served. */
    void clear(const request_fingerprint& request);
    /** Replaces what another VM has seen. */
    void replace_peer_crashes(const vm_id& vm, crashed_engines seen,
                              time_point now);

    /** @return What this VM has seen within the memory. */
    [[nodiscard]] crashed_engines own(time_point now);
    /** @return Requests that may not be sent. */
    [[nodiscard]] std::set<request_fingerprint> blocked(time_point now);

private:
    struct report
    {
        crashed_engines seen;
        time_point heard{};
    };

    crash_options options_;
    std::map<request_fingerprint, std::map<server_id, time_point>> own_;
    std::map<vm_id, report> others_;
};

} // namespace rosemarydeck
