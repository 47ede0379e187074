/** @file engine_directory_base.hpp Directory of the listed engines. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"
#include "router/stream_origin_type.hpp"

#include <set>

namespace rosemarydeck
{

/** Settings of the engine directory. */
struct directory_options
{
    /** How long entries that are gone after an outage of the store are kept.
     *  Engines whose entries lapsed meanwhile register again within 2 s. */
    duration reregistration_grace_period = milliseconds(1'800);
};

/**
 * Holds the engines' entries as last read from the store. Entries stay while
 * the store can't be reached. After such an outage, entries that are gone from
 * the store are kept for a grace period, since the entry of a running engine
 * may have lapsed in the outage and the engine then registers again.
 */
class engine_directory
{
public:
    explicit engine_directory(directory_options options = {});

    /** Replaces all entries. Removes those that are missing as erase() does.
     *  @param entries Every entry in the store. */
    void replace(const std::vector<engine_info>& entries, time_point now);
    /** Adds or replaces one entry. */
    void put(engine_info entry, time_point now);
    /** Removes an entry that is gone from the store. During a grace period an
     *  entry is kept until the period ends, unless its engine was draining. */
    void erase(const server_id& id, time_point now);
    /** Starts the grace period after an outage of the store.
     *  @param now When the store answered again. */
    void record_outage_end(time_point now);
    /** Drops entries whose grace period is over.
     *  @return True if any was dropped. */
    bool expire(time_point now);

    /** Names the data centres whose engines must not be used. */
    void set_evacuated(std::set<dc_id> data_centres, time_point now);

    /** @return Engines that aren't draining and whose data centre isn't
     *  evacuated, by service, sorted by id. */
    [[nodiscard]] std::map<service_id, std::vector<engine_info>> usable() const;
    /** @return Usable engines that are cold, by incarnation: by their entries,
     *  or since their data centre was evacuated until lately. */
    [[nodiscard]] std::map<server_id, cold_engine>
    cold(const std::vector<service_rule>& services, time_point now) const;
    /** @return What engines that aren't draining serve, in evacuated data
     *  centres as well: streams that began there may go on there later. */
    [[nodiscard]] std::set<stream_origin> origins() const;
    /** @return Number of entries, including those in their grace period. */
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        engine_info info;
        /** End of the grace period; set when the entry is gone from the store.
         */
        std::optional<time_point> drop_at;
        time_point cold_until{};
    };

    directory_options options_;
    std::map<server_id, entry> entries_;
    std::set<dc_id> evacuated_;
    std::map<dc_id, time_point> returned_at_; ///< Ends of evacuations.
    time_point grace_period_end_{};
};

} // namespace rosemarydeck
