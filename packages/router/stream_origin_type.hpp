/** @file stream_origin_type.hpp Where a stream began. */
#pragma once

#include "common/json_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** Longest key of a stream, in bytes. */
constexpr std::size_t max_stream_key_bytes = 64;

/** @param client_id Id of any bytes and length, as a client names a stream.
 *  @return The id under which the VMs know the stream: the same if it is short
 *          and printable, or else a hash of 128 bits. */
stream_id stream_key(const std::string& client_id);

/** Only engines of the service and software version that began a stream may
 *  continue it: what two versions generate doesn't fit together. */
struct stream_origin
{
    service_id service;
    software_version software;

    auto operator<=>(const stream_origin&) const = default;

    /** @return True if an engine may continue the stream. */
    [[nodiscard]] bool matches(const engine_info& engine) const
    {
        return engine.service == service && engine.software == software;
    }
};

/** What one VM publishes of the streams that began on it. */
struct stream_report
{
    /** Every origin of a stream of this VM that a client may still take up, and
     *  every origin at which the VM may begin streams. */
    std::set<stream_origin> origins;
    /** Streams that clients may take up, for services with several origins. */
    std::map<stream_id, stream_origin> streams;

    bool operator==(const stream_report&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(stream_report);

} // namespace rosemarydeck
