/** @file object_sync_base.cpp How current a VM's knowledge of one kind of
 *  objects is. */
#include "router/object_sync_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

void object_sync::record_answer(std::uint64_t revision, time_point known_at,
                                time_point now)
{
    evidence_.revision = revision;
    evidence_.heard = now;
    evidence_.confirmed = evidence_.confirmed
                              ? std::max(*evidence_.confirmed, known_at)
                              : known_at;
}

} // namespace rosemarydeck
