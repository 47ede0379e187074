/** @file object_store_base.hpp The object service, kept in memory. */
#pragma once

#include "object_service/object_call_type.hpp"

#include <map>

namespace rosemarydeck
{

/**
 * Versioned objects in memory. Serves as the embedded platform of a trial
 * and behind the stand-in server; a real deployment uses the HTTP client.
 */
class object_store
{
public:
    /**
     * Carries out one call; a watch answers at once with what is there.
     * @param request The call.
     * @return The reply, or the error that the service would send.
     */
    platform_result apply(const platform_request& request);

    /** @return The revision of the newest write. */
    [[nodiscard]] object_version revision() const { return revision_; }

private:
    platform_result apply_one(const get_object& request) const;
    platform_result apply_one(const list_objects& request) const;
    platform_result apply_one(const create_object& request);
    platform_result apply_one(const update_object& request);
    platform_result apply_one(const delete_object& request);
    platform_result apply_one(const watch_objects& request) const;
    platform_result write(platform_object object);

    std::map<std::string, platform_object> objects_;
    object_version revision_ = 0;
};

} // namespace rosemarydeck
