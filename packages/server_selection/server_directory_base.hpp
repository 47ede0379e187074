/** @file server_directory_base.hpp Directory and choice of backend servers. */
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

/** Load that a backend server reports of itself. On arrival the report is as
 *  old as its transmission took. */
struct load_report
{
    std::int64_t running = 0; ///< Requests from all VMs in its batch.
    std::int64_t waiting = 0; ///< Requests from all VMs in its queue.
    std::int64_t slots = 0;   ///< Capacity of its batch, in requests.
    bool leaving = false;     ///< Accepts no new requests.

    bool operator==(const load_report&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(load_report);

/** What a request requires of its backend server. */
struct server_requirements
{
    target_id target;                ///< Model or service.
    dc_id data_centre;               ///< Preferred data centre.
    std::uint64_t prefix_hash = 0;   ///< Hash of the start of the prompt.
    std::vector<server_id> excluded; ///< Servers that must not be chosen.

    bool operator==(const server_requirements&) const = default;
};

/** Settings of the choice of a backend server. */
struct server_selection_options
{
    duration load_report_ttl{}; ///< Older reports are ignored.
    /** Back-off of a server after its first failure; doubles with each further
     *  one until a request succeeds. */
    duration initial_failure_backoff{};
    duration max_failure_backoff{};
    std::int64_t vm_count = 1; ///< Number of VMs that use the servers.
};

/** The backend servers and their load, as known to one VM. */
class server_directory
{
public:
    explicit server_directory(server_selection_options options);

    /** Replaces the entries. Servers without an entry are marked as leaving.
     *  @param entries All servers of the platform's list. */
    void assign(const std::map<server_id, server_entry>& entries);
    /** Records a server's load report. */
    void record_load(const server_id& server, const load_report& load,
                     time_point now);
    /** Marks a server as leaving: it gets no new requests until the platform's
     *  list has shown it as leaving and then no longer does. */
    void mark_leaving(const server_id& server);
    /** Records that a request was sent to a server. */
    void record_start(const server_id& server);
    /** Records that a request to a server ended. */
    void record_end(const server_id& server);
    /** Records that a request to a server failed, and starts its back-off. */
    void record_failure(const server_id& server, time_point now);
    /** Records that a request to a server succeeded: its next back-off is the
     *  initial one. A running back-off goes on. */
    void record_success(const server_id& server);
    /** Sets the number of VMs that share the servers.
     *  @param count Number of VMs, this one included. */
    void set_vm_count(std::int64_t count);

    /**
     * Chooses among the usable servers with a free slot in the preferred data
     * centre, or, if there is none, in the other data centres. Takes the first
     * server in the rendezvous order of the prefix hash, or the second if it
     * has more than twice as many free slots as the first.
     * @param requirements Requirements of the request.
     * @param now The time.
     * @return The server, or none if no usable server has a free slot.
     */
    [[nodiscard]] std::optional<server_id>
    choose(const server_requirements& requirements, time_point now) const;
    /** @return True if any usable server, full or not, serves the target. */
    [[nodiscard]] bool serves(const target_id& target, time_point now) const;
    /** @return Number of slots of all usable servers of a target. */
    [[nodiscard]] std::int64_t slots_for(const target_id& target,
                                         time_point now) const;
    /** @return The server's entry, or nullptr. */
    [[nodiscard]] const server_entry* find(const server_id& server) const;
    /** @return True if the server is leaving or unknown. */
    [[nodiscard]] bool is_leaving(const server_id& server) const;
    /** @return Number of requests of this VM that a server has. */
    [[nodiscard]] std::int64_t outstanding(const server_id& server) const;
    /** @return All servers, those that are leaving included. */
    [[nodiscard]] std::vector<server_id> all() const;

private:
    struct record
    {
        server_entry entry;
        load_report load;
        /** Open requests of this VM when the load report arrived. */
        std::int64_t outstanding_at_report = 0;
        time_point reported_at;       ///< Zero before the first load report.
        std::int64_t outstanding = 0; ///< Open requests of this VM.
        bool leaving = false;
        time_point backoff_end;
        duration last_backoff{}; ///< Zero after a success.
    };

    /** @return True if the server serves the target, is not leaving and has
     *  no back-off. */
    [[nodiscard]] bool usable(const record& server, const target_id& target,
                              time_point now) const;
    /** @return Estimated number of free slots; may be negative. */
    [[nodiscard]] std::int64_t free_slots(const record& server,
                                          time_point now) const;

    server_selection_options options_;
    std::map<server_id, record> servers_;
};

} // namespace rosemarydeck
