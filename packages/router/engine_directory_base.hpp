/** @file engine_directory_base.hpp Which engines may be given work. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** How the directory treats entries that vanish. */
struct directory_options
{
    /** Engines whose entries lapsed in an outage re-register within 2 s. */
    duration lapse_grace = milliseconds(1'800);
};

/**
 * Follows the engines' entries. While the store can't be reached the last
 * known engines stay. After an outage, entries that have vanished get a grace
 * time in which a live engine registers again.
 */
class engine_directory
{
public:
    explicit engine_directory(directory_options options = {});

    /** Replaces everything by a full list. @param entries As listed. */
    void replace(const std::vector<engine_info>& entries, time_point now);
    /** Takes over one entry. */
    void put(engine_info entry);
    /** Removes an entry; within the grace time after an outage, later. */
    void erase(const server_id& id, time_point now);
    /** Notes that the store answers again after it did not. */
    void record_outage_end(time_point now);
    /** Drops entries whose grace is over. @return True if any was dropped. */
    bool expire(time_point now);

    /** @return Engines that may be given work, by service, sorted by id. */
    [[nodiscard]] std::map<service_id, std::vector<engine_info>> usable() const;
    /** @return Number of entries, lapsed ones included. */
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        engine_info info;
        std::optional<time_point> drop_at; ///< Set once the entry vanished.
    };

    directory_options options_;
    std::map<server_id, entry> entries_;
    time_point grace_until_{};
};

} // namespace rosemarydeck
