/** @file engine_notice_base.hpp What engines say of themselves in answers. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** The notices of one VM, by incarnation of the engine, as published to the
 *  other VMs. */
using engine_notices = std::map<server_id, engine_notice>;

ROSEMARYDECK_JSON_DECLARE(engine_notice);

/** @return True if a notice's limit replaces that of another one: it was named
 *  later, or independently and is the stricter of the two. */
bool supersedes(const engine_notice& notice, const engine_notice& other);

/** @return What holds after both notices. */
engine_notice merged(const engine_notice& left, const engine_notice& right);

/**
 * The latest notice of each engine, of all VMs. The VM that an engine told
 * publishes the notice. Other VMs take it over when that VM's entry no longer
 * has it, so that VMs that start later still learn of it.
 */
class notice_board
{
public:
    /** Records what an engine told this VM.
     *  @return True if that was not known. */
    bool record_own(const server_id& engine, const engine_notice& notice);
    /** Replaces what another VM published.
     *  @return True if this VM has to publish its notices. */
    bool replace_peer(const vm_id& vm, engine_notices published);
    /** Drops notices of engines that have not been listed for a time.
     *  @param listed Incarnations that are listed. */
    void drop_unlisted(const std::set<server_id>& listed, time_point now);

    /** @return What this VM publishes. */
    [[nodiscard]] const engine_notices& own() const { return own_; }
    /** @return The latest notices of all VMs. */
    [[nodiscard]] const engine_notices& latest() const { return latest_; }

private:
    void merge(const server_id& engine, const engine_notice& notice);
    /** @return True if some VM publishes the latest notice. */
    [[nodiscard]] bool is_published(const server_id& engine) const;

    engine_notices own_;
    engine_notices latest_;
    std::map<vm_id, engine_notices> published_; ///< By the other VMs.
    std::map<server_id, time_point> last_listed_;
};

} // namespace rosemarydeck
