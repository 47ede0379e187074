/** @file server_directory_base.hpp Backend servers and the choice of one. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "config/config_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemarydeck
{

/** What a backend server reports of itself; it is old when it arrives. */
struct load_report
{
    std::int64_t running = 0; ///< Requests of all VMs in its batch.
    std::int64_t waiting = 0; ///< Requests of all VMs in its queue.
    std::int64_t slots = 0;   ///< Requests that its batch holds.
    bool leaving = false;

    bool operator==(const load_report&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(load_report);

/** What a request needs from a backend server. */
struct server_requirements
{
    target_id target;
    dc_id data_centre;             ///< Preferred.
    std::uint64_t prefix_hash = 0; ///< Equal for prompts with equal starts.
    std::vector<server_id> excluded;

    bool operator==(const server_requirements&) const = default;
};

/** Settings of the choice. */
struct server_selection_options
{
    duration load_report_ttl{};         ///< Older reports are not used.
    duration initial_failure_backoff{}; ///< No work after a failure, at first.
    duration max_failure_backoff{};
    std::int64_t sharing_vms = 1; ///< VMs that use the same servers.
};

/** Backend servers as one VM sees them. */
class server_directory
{
public:
    explicit server_directory(server_selection_options options);

    /** Takes the platform's list. @param entries All servers. */
    void assign(const std::map<server_id, server_entry>& entries);
    /** Takes a server's own report. */
    void record_load(const server_id& server, const load_report& load,
                     time_point now);
    /** A server leaves; it never gets new work again under this entry. */
    void mark_leaving(const server_id& server);
    /** A request was sent to a server. */
    void record_start(const server_id& server);
    /** A request ended there. */
    void record_end(const server_id& server);
    /** A request failed there. */
    void record_failure(const server_id& server, time_point now);
    /** A request went well there. */
    void record_success(const server_id& server);
    /** @param count VMs that share the servers, this one too. */
    void set_vm_count(std::int64_t count);

    /**
     * Chooses a server with a free slot: of the two first by the prefix's
     * hash order the less loaded one, then any other with room, and servers
     * of other data centres only when none here has room.
     * @param wish What is needed.
     * @param now The time.
     * @return The server, or none while all are full.
     */
    [[nodiscard]] std::optional<server_id>
    choose(const server_requirements& wish, time_point now) const;
    /** @return True if any server, full or not, could serve the target. */
    [[nodiscard]] bool serves(const target_id& target, time_point now) const;
    /** @return The slots of all servers that may serve a target now. */
    [[nodiscard]] std::int64_t slots_for(const target_id& target,
                                         time_point now) const;
    /** @return The server's entry, or null. */
    [[nodiscard]] const server_entry* find(const server_id& server) const;
    /** @return True if the server gets no new work for good. */
    [[nodiscard]] bool is_leaving(const server_id& server) const;
    /** @return Requests of this VM that run on a server. */
    [[nodiscard]] std::int64_t outstanding(const server_id& server) const;
    /** @return All servers by name. */
    [[nodiscard]] std::vector<server_id> all() const;

private:
    struct record
    {
        server_entry entry;
        load_report load;
        std::int64_t mine_at_report = 0;
        time_point reported;
        std::int64_t outstanding = 0;
        bool leaving = false;
        time_point paused_until;
        duration pause{};
    };

    [[nodiscard]] bool usable(const record& server, const target_id& target,
                              time_point now) const;
    [[nodiscard]] std::int64_t room(const record& server, time_point now) const;

    server_selection_options options_;
    std::map<server_id, record> servers_;
};

} // namespace rosemarydeck
