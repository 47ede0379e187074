/** @file store_client_base.hpp HTTP client of the platform's store. */
#pragma once

#include "gateway/event_log_base.hpp"
#include "gateway/gateway_metrics_base.hpp"
#include "gateway/gateway_settings_type.hpp"
#include "platform/platform_store_func.hpp"
#include "router/revision_record_base.hpp"
#include "web/http_client_base.hpp"

#include <random>
#include <set>

namespace rosemarydeck
{

/** An undecoded answer of the store. */
struct store_reply
{
    unsigned status = 0;
    std::string body;
};

/** How a lost store is probed. */
struct store_probe_options
{
    std::string object;   ///< Name of a small object of presence_kind.
    duration max_pause{}; ///< Between two probes of a store that refuses.
    /** The same while the store gives no answer. Such probes may be answered
     *  out of date, which costs little. */
    duration max_silent_pause{};
};

/**
 * Calls the store from fibers. During an outage one fiber probes the store,
 * with back-off, and the others wait: calls are costly.
 */
class store_client
{
public:
    store_client(boost::asio::io_context& io, const endpoint& store,
                 store_probe_options probes, event_log& log,
                 gateway_metrics& metrics);

    /** Suspends the fiber until the store is up. */
    void await_reachable();
    /**
     * Calls the store; suspends the fiber.
     * @param hold_time Longest time for which the store may hold back its
     *        answer; added to the time-out.
     * @param handle Ends the call; none if nobody needs to.
     * @return The answer, with any status; if there is none, the cause and
     *         whether the call may have taken effect.
     */
    tl::expected<store_reply, http_failure>
    call(const platform::store_call& call,
         std::chrono::milliseconds hold_time = {},
         http_call_handle* handle = nullptr);

    /** @return Time at which the last outage ended; none if there was none. */
    [[nodiscard]] std::optional<time_point> last_recovery() const
    {
        return last_recovery_;
    }
    /** Records a revision of the store that an answer has named. */
    void record_revision(std::uint64_t revision)
    {
        revisions_.record(revision, clock_.now());
    }
    /** @return The highest revision that was known at a time. */
    [[nodiscard]] std::uint64_t revision_known_at(time_point when) const
    {
        return revisions_.known_at(when);
    }
    /** @return True if the last call had no usable answer. */
    [[nodiscard]] bool down() const { return down_; }

private:
    /** @return Pause before the next probe, with jitter, so that the VMs don't
     *  probe together. */
    [[nodiscard]] duration probe_pause();
    /** Ends the watches that began before the outage ended. The store may not
     *  have received them, and would then never answer. */
    void restart_watches();
    /** Records a call that got no answer. */
    void record_unanswered(const platform::store_call& call,
                           time_point start_time, const std::string& reason);
    void record_result(bool usable, const std::string& reason);
    /** Probes the store until it is up. */
    void run_probes();

    boost::asio::io_context& io_;
    endpoint store_;
    store_probe_options probes_;
    event_log& log_;
    gateway_metrics& metrics_;
    http_client client_;
    runtime_clock clock_;
    bool down_ = false;
    bool probing_ = false; ///< A fiber probes the store.
    bool silent_ = false;  ///< The last failed call had no answer.
    std::uint32_t consecutive_failures_ = 0;
    std::set<http_call_handle*> watches_; ///< Calls that the store holds.
    std::minstd_rand jitter_{std::random_device{}()};
    revision_record revisions_;
    std::optional<time_point> last_answer_; ///< The last usable one.
    std::optional<time_point> last_recovery_;
    time_point outage_start_{};
};

} // namespace rosemarydeck
