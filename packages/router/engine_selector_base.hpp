/** @file engine_selector_base.hpp Choice of an engine for a request. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"
#include "router/request_pace_base.hpp"
#include "router/stream_origin_type.hpp"

#include <set>
#include <span>

namespace rosemarydeck
{

/** Weights and times of the choice of an engine. */
struct placement_options
{
    /** A prompt's home engine is chosen while the weighted tokens of its open
     *  requests are at most the mean over the engines times this factor, plus
     *  the slack below. */
    double home_load_factor = 1.6;
    /** Slack in weighted tokens for each shared token of the prompt. */
    double home_slack_per_shared_token = 4.0;
    /** Minimum number of shared tokens that are fetched from the home; fewer
     *  are computed again. */
    token_count min_fetch_tokens = 1'000;
    /** Work of an output token in prompt tokens, from the engines' published
     *  step and prefill times: an output token takes a whole batch step, a
     *  prompt token a fraction of one. */
    token_count output_token_weight = 8;
    /** Back-off of an engine after its first failure; doubles with each
     *  further one. A refusal causes half of it. */
    duration initial_retry_backoff = milliseconds(250);
    /** Maximum back-off; an instance mismatch causes it at once. */
    duration max_retry_backoff = milliseconds(4'000);
    /** Number of unreachable engines from which on their data centre counts as
     *  unreachable. */
    std::size_t min_unreachable_engines = 2;
    /** Time for which an unreachable data centre is avoided after the latest
     *  failed connection. Then requests try it again. */
    duration data_centre_cooldown = milliseconds(1'000);
    /** Number of VMs by which limits are divided until it is known. */
    std::uint32_t unknown_fleet_vms = 1'000;
    /** Relative change from which on a limit counts as a new one. */
    double min_limit_change = 0.1;
    /** Part of the rejections that a brittle engine bears which the VMs may
     *  cause. */
    double max_rejection_share = 0.75;
    /** Minimum and maximum rest of a brittle engine that turned a request of
     *  this VM away. */
    duration min_brittle_rest = milliseconds(1'100);
    duration max_brittle_rest = milliseconds(10'000);
    /** Time for which an engine's departure is remembered. Far longer than any
     *  engine takes to leave. */
    duration departure_ttl = milliseconds(600'000);
};

/** What the choice of an engine needs to know of a request. */
struct placement_request
{
    service_id service;
    std::string
        shared_prefix_id;   ///< Key of the shared prompt parts; may be empty.
    token_count shared = 0; ///< Tokens of the shared prompt parts.
    token_count input = 0;  ///< Prompt tokens, shared ones included.
    token_count output = 0; ///< Maximum number of output tokens.
};

/** The engine chosen for a request. */
struct placement
{
    engine_info engine;
    /** The prompt's home, if another engine was chosen and should fetch the
     *  shared prompt parts from it. */
    std::optional<engine_info> fetch_from;
};

/** Result of one attempt to send a request to an engine. */
enum class send_outcome
{
    served,            ///< A whole answer arrived, of any status.
    refused,           ///< The engine states that it did not run the request.
    instance_mismatch, ///< Another engine now has the address.
    unreachable,       ///< No connection could be opened.
    broken,            ///< Sent, but no valid whole answer arrived.
    abandoned,         ///< Ended by the router or the client.
};

/** @return The outcome's name in logs. */
const char* name_of(send_outcome outcome);

/**
 * Chooses engines by prompt prefix and load, as known from the requests that
 * this VM has open. Requests with the same shared prompt parts go to the same
 * engine, their home, whose cache holds these parts, unless it is overloaded.
 * VMs that choose from the same engines agree on the home by rendezvous
 * hashing, without exchanging messages. Engines that fail get no new requests
 * for a back-off that grows with each failure, and unreachable data centres
 * are avoided for a cool-down, unless no other untried engine is left.
 */
class engine_selector
{
public:
    explicit engine_selector(placement_options options = {});

    /** Chooses an engine and counts the request as open there.
     *  @param engines Engines of the service.
     *  @param tried Engines that must not be chosen.
     *  @return The choice, or none if every engine has been tried. */
    std::optional<placement> place(const placement_request& request,
                                   std::span<const engine_info> engines,
                                   const std::set<server_id>& tried,
                                   time_point now);
    /** Ends a request that place() counted as open. Its outcome may start or
     *  clear the engine's back-off. */
    void release(const server_id& engine, const placement_request& request,
                 send_outcome outcome, time_point now);
    /** Records that an engine said that it is about to stop. It gets no more
     *  requests, whatever the list of engines says of this incarnation.
     *  @return The notice that the other VMs should know, if it is a new one.
     */
    std::optional<engine_notice> record_leaving(const engine_info& engine,
                                                time_point now);
    /** Records that an engine wants no requests before @p until. */
    void record_rest(const server_id& engine, time_point until);
    /**
     * Records the limit in an engine's answer, or that it has none.
     * @param sent When the request was sent.
     * @return The notice that the other VMs should know, if it is a new one.
     */
    std::optional<engine_notice> record_limit(const engine_info& engine,
                                              std::optional<double> limit_per_s,
                                              time_point sent, time_point now);
    /**
     * Records whether an engine is brittle. While it is, the open requests of
     * all VMs together keep to its slots, so that it has room for them; if it
     * turns one away all the same it rests here.
     * @param bearable Rejections a second that it bears, if it is brittle.
     * @param refused It turned a request away.
     */
    void record_brittle(const engine_info& engine,
                        std::optional<double> bearable, bool refused,
                        time_point now);
    /** Takes over the limits and the number of VMs of a view. Drops the records
     *  of engines that it doesn't list and that have no open requests, and old
     *  records of leaving engines. */
    void apply_view(const fleet_view& view, time_point now);

    /** @return When the first of the engines takes requests that rest or that
     *  limit them; none if one of them takes requests now or if all are
     *  leaving. */
    [[nodiscard]] std::optional<time_point>
    rest_end(std::span<const engine_info> engines, time_point now) const;

    /** Records that a connection to an engine could be opened. */
    void record_reachable(const server_id& engine);
    /** @param origin If set, only engines that match it count.
     *  @return False if no connection to any of the engines could be opened
     *  when it was last tried; true if there are no engines. */
    [[nodiscard]] bool
    reaches_any(std::span<const engine_info> engines,
                const std::optional<stream_origin>& origin) const;

    /** @return Number of requests that this VM has open at an engine. */
    [[nodiscard]] std::uint32_t open_at(const server_id& engine) const;

private:
    struct record
    {
        std::uint32_t open = 0;
        token_count open_work = 0;  ///< Weighted tokens of the open requests.
        std::uint32_t failures = 0; ///< Consecutive failures.
        time_point retry_at{};      ///< End of the back-off.
        bool brittle = false;       ///< See record_brittle().
        bool unreachable = false;   ///< The last connection failed.
        time_point rest_until{};    ///< End of the rest that it asked for.
        dc_id data_centre;
    };

    /** Failed connections to the engines of one data centre. */
    struct connectivity
    {
        /** Engines with failed connections since an engine of the data centre
         *  last answered. */
        std::set<server_id> unreachable;
        time_point last_failure{};
    };

    /** @return True if the data centre is to be avoided at present. */
    [[nodiscard]] bool is_unreachable(const dc_id& centre,
                                      time_point now) const;
    void record_connectivity(const dc_id& centre, const server_id& engine,
                             send_outcome outcome, time_point now);
    /** @return Prompt tokens plus output tokens times their weight. */
    [[nodiscard]] token_count
    weighted_tokens(const placement_request& request) const;
    [[nodiscard]] bool is_leaving(const engine_info& engine) const;
    /** Notice of an engine and this VM's share of its limit. */
    struct request_limit
    {
        engine_notice notice;
        time_point learned{};
        std::optional<request_pace> pace; ///< Set if there is a limit.
    };

    /** A cold engine and this VM's share of what it bears. */
    struct cold_limit
    {
        cold_engine state;
        request_pace pace;
    };

    /** Takes over which engines are cold. */
    void update_cold(const std::map<server_id, cold_engine>& cold,
                     time_point now);
    void update_notice(const server_id& incarnation,
                       const engine_notice& notice, time_point now);
    /** Divides a limit anew if it or the number of VMs has changed. */
    void update_pace(request_limit& limit, time_point now) const;
    [[nodiscard]] const request_limit*
    find_limit(const engine_info& engine) const;
    /** @return When the engine takes requests; now or earlier if it does. */
    [[nodiscard]] time_point available_from(const engine_info& engine,
                                            time_point now) const;
    /** @return Number of VMs by which limits are divided. */
    [[nodiscard]] std::uint32_t divisor() const
    {
        return live_vms_ == 0 ? options_.unknown_fleet_vms : live_vms_;
    }
    /** @return True if this VM's part of a brittle engine's slots is used. */
    [[nodiscard]] bool is_part_used(const engine_info& engine) const;
    /** @return True if the engine neither leaves nor rests, and its limit
     * allows this VM a request. */
    [[nodiscard]] bool takes_requests(const engine_info& engine,
                                      time_point now) const;
    /** @return Untried engines without a back-off in a reachable data centre,
     *  or all untried ones if there is none; never one that leaves or rests. */
    [[nodiscard]] std::vector<const engine_info*>
    candidates(std::span<const engine_info> engines,
               const std::set<server_id>& tried, time_point now) const;
    /** @param salt Decides between engines of equal load.
     *  @return The engine with the least load per slot. */
    [[nodiscard]] const engine_info*
    least_loaded(const std::vector<const engine_info*>& from,
                 std::uint64_t salt) const;
    [[nodiscard]] const record* find(const server_id& id) const;

    placement_options options_;
    std::map<server_id, record> records_;
    /** When incarnations said that they are about to stop. */
    std::map<server_id, time_point> departures_;
    std::map<dc_id, connectivity> connectivity_;
    std::map<server_id, request_limit> limits_; ///< By incarnation.
    std::map<server_id, cold_limit> cold_;      ///< By incarnation.
    std::uint32_t live_vms_ = 0;                ///< 0 if unknown.
    std::uint32_t vm_rank_ = 0;
    std::uint64_t placement_count_ = 0; ///< Salt for engines of equal load.
};

} // namespace rosemarydeck
