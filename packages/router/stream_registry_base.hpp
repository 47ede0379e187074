/** @file stream_registry_base.hpp Where the streams that clients may take up
 *  began. */
#pragma once

#include "common/time_type.hpp"
#include "router/stream_origin_type.hpp"

#include <mutex>

namespace rosemarydeck
{

/** Times and sizes of the stream registry. */
struct stream_registry_options
{
    /** Time after its break for which a client may take a stream up. Far
     *  longer than clients wait for an answer. */
    duration take_up_ttl = milliseconds(60'000);
    /** Minimum time between two reports that differ in their streams only.
     *  Streams that began since the last report are unknown to the other VMs.
     */
    duration min_report_interval = milliseconds(250);
    /** Part of the store's writes that the reports of all VMs may use. */
    double max_write_share = 0.1;
    /** Streams kept; the oldest broken ones go first. */
    std::size_t max_streams = 4'096;
    /** Longer ids are not kept; clients choose them. */
    std::size_t max_id_bytes = max_stream_key_bytes;
};

/**
 * Tells at which software version a stream goes on. A VM begins streams only
 * at versions that its own report in the store names. So whoever reads all
 * reports after a stream began finds its version among them: if a service has
 * only one there, it is the stream's. Otherwise the reports list the streams.
 * Used by the traffic thread and the control thread.
 */
class stream_registry
{
public:
    explicit stream_registry(stream_registry_options options = {});

    // Traffic thread.

    /** @return Where this VM may begin streams. */
    [[nodiscard]] std::shared_ptr<const std::set<stream_origin>>
    allowed() const;
    /** Records that a client receives a stream's first event, or its first
     *  after taking it up. */
    void record_begun(const stream_id& stream, const stream_origin& origin);
    /** @param whole The client received the stream's end. */
    void record_ended(const stream_id& stream, bool whole, time_point now);
    /** @return Where a stream began, if this VM brought it. */
    [[nodiscard]] std::optional<stream_origin>
    find(const stream_id& stream) const;

    // Control thread.

    /** Takes over the report of this VM's previous run. */
    void restore(const stream_report& own, time_point now);
    /** Replaces the origins of the listed engines. */
    void update_listed(std::set<stream_origin> listed, time_point now);
    /** Replaces the reports of the other VMs. */
    void replace_peers(std::map<vm_id, stream_report> reports);
    /** @return The report to publish, if it is due. From then on streams
     *  begin only where it allows.
     *  @param vms Number of running VMs, or 0.
     *  @param writes_per_s Writes a second that the store accepts. */
    std::optional<stream_report>
    take_due_report(std::uint32_t vms, double writes_per_s, time_point now);
    void record_published(const stream_report& report, time_point now);
    /**
     * Finds where a stream began by the reports of all VMs. They must have been
     * read after the client asked.
     * @param stream The stream, or empty if the client named none.
     * @return None if the stream may have begun at several versions.
     */
    [[nodiscard]] std::optional<stream_origin>
    resolve(const stream_id& stream, const service_id& service) const;

private:
    struct stream_record
    {
        stream_origin origin;
        std::optional<time_point> broken_at; ///< Empty while it is open.
    };

    /** @return What this VM has to publish. */
    stream_report make_report(time_point now);
    void drop_expired(time_point now);
    /** @return The service's versions in this VM's and all other reports. */
    [[nodiscard]] std::set<stream_origin>
    known_origins(const service_id& service) const;

    stream_registry_options options_;
    mutable std::mutex mutex_;
    std::map<stream_id, stream_record> streams_;
    std::set<stream_origin> listed_;
    std::map<stream_origin, time_point> unlisted_since_;
    std::map<vm_id, stream_report> peers_;
    std::shared_ptr<const std::set<stream_origin>> allowed_ =
        std::make_shared<std::set<stream_origin>>();
    std::optional<stream_report> published_;
    time_point published_at_{};
};

} // namespace rosemarydeck
