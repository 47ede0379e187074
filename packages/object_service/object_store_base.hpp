/** @file object_store_base.hpp In-memory object service. */
#pragma once

#include "object_service/object_call_type.hpp"

#include <map>

namespace rosemarydeck
{

/**
 * Versioned objects in memory. Used for the platform that runs inside the
 * daemon (platform kind `embedded`, for trials) and by the test server that
 * replaces the platform. Other deployments call the platform over HTTP.
 */
class object_store
{
public:
    /**
     * Executes one call. A watch returns at once, without waiting for writes.
     * @return The reply, or the error that the platform would send.
     */
    platform_result apply(const platform_request& request);

    /** @return The revision of the newest write. */
    [[nodiscard]] object_version revision() const { return revision_; }

private:
    platform_result apply_call(const get_object& request) const;
    platform_result apply_call(const list_objects& request) const;
    platform_result apply_call(const create_object& request);
    platform_result apply_call(const update_object& request);
    platform_result apply_call(const delete_object& request);
    platform_result apply_call(const watch_objects& request) const;
    platform_result write(platform_object object);

    /** Objects by name. Deleted ones stay, so that a watch returns them. */
    std::map<std::string, platform_object> objects_;
    object_version revision_ = 0;
};

} // namespace rosemarydeck
