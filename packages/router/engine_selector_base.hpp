/** @file engine_selector_base.hpp Chooses an engine for a request. */
#pragma once

#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

#include <set>
#include <span>

namespace rosemarydeck
{

/** Weights of the choice. */
struct placement_options
{
    /** A prefix's home is left when its load exceeds the mean this often. */
    double home_load_factor = 1.6;
    /** Work that a home may hold beyond that bound, for each shared token. */
    double home_slack = 4.0;
    /** Fewer shared tokens are read again rather than fetched. */
    token_count least_fetch = 1'000;
    /** Output tokens take a batch step each; a prompt token a share of one.
     *  From the engines' published step and prefill times. */
    token_count output_token_weight = 8;
    duration initial_retry_backoff = milliseconds(250);
    duration max_retry_backoff = milliseconds(4'000);
    /** Unreachable engines after which their data centre counts as cut off. */
    std::size_t cut_off_engines = 2;
    /** One request in such a time tries a data centre that is cut off. */
    duration cut_off_span = milliseconds(1'000);
};

/** What a request needs of an engine. */
struct placement_request
{
    service_id service;
    std::string prefix_home; ///< Key of the shared prompt parts, or empty.
    token_count shared = 0;  ///< Tokens of these parts.
    token_count input = 0;
    token_count output = 0;
};

/** Where a request goes. */
struct placement
{
    engine_info engine;
    std::optional<engine_info> fetch_from; ///< Its prompt's home, if left.
};

/** How one send to an engine ended. */
enum class send_outcome
{
    served,            ///< A whole answer came, of whatever status.
    refused,           ///< The engine said that it did not run the request.
    instance_mismatch, ///< Another instance has the address.
    unreachable,       ///< No connection came about.
    broken,            ///< Sent, and no whole answer came.
    abandoned,         ///< Ended from this side.
};

/** @return The outcome's name in logs. */
const char* name_of(send_outcome outcome);

/**
 * Places requests by prefix home and load, from what this VM has sent. All
 * VMs agree on a prefix's home by rendezvous hashing without exchanging a
 * message. Engines that fail are left alone for a growing while.
 */
class engine_selector
{
public:
    explicit engine_selector(placement_options options = {});

    /** Chooses an engine and counts the request there.
     *  @param engines Of the service. @param tried Not to be chosen again.
     *  @return The place, or none if no engine is left. */
    std::optional<placement> place(const placement_request& request,
                                   std::span<const engine_info> engines,
                                   const std::set<server_id>& tried,
                                   time_point now);
    /** Ends a counted request. */
    void release(const server_id& engine, const placement_request& request,
                 send_outcome outcome, time_point now);
    /** Forgets engines that are no longer listed. */
    void drop_unlisted(const fleet_view& view);

    /** @return Requests that this VM has open at an engine. */
    [[nodiscard]] std::uint32_t open_at(const server_id& engine) const;

private:
    struct record
    {
        std::uint32_t open = 0;
        token_count work = 0;
        std::uint32_t failures = 0; ///< In a row.
        time_point retry_at{};
        dc_id data_centre;
    };

    /** Engines of one data centre that could not be reached of late. */
    struct reach
    {
        std::set<server_id> unreachable;
        time_point last{};
    };

    [[nodiscard]] bool cut_off(const dc_id& centre, time_point now) const;
    void note_reach(const dc_id& centre, const server_id& engine,
                    send_outcome outcome, time_point now);
    [[nodiscard]] token_count work_of(const placement_request& request) const;
    [[nodiscard]] std::vector<const engine_info*>
    candidates(std::span<const engine_info> engines,
               const std::set<server_id>& tried, time_point now) const;
    [[nodiscard]] const engine_info*
    least_loaded(const std::vector<const engine_info*>& from,
                 std::uint64_t salt) const;
    [[nodiscard]] const record* find(const server_id& id) const;

    placement_options options_;
    std::map<server_id, record> records_;
    std::map<dc_id, reach> reach_;
    std::uint64_t turn_ = 0;
};

} // namespace rosemarydeck
