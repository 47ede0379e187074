/** @file crash_record_base.hpp Record of requests that crash engines. */
#pragma once

#include "common/json_type.hpp"
#include "common/time_type.hpp"
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** When requests are blocked because they crash engines. */
struct crash_options
{
    /** Number of engine incarnations that a trait must have crashed to be
     *  blocked. */
    std::size_t min_crashed_engines = 3;
    /** Time from the first news of the crash of a prompt's part from which on
     *  further requests with it are sent in doubt. Longer than an outage of
     * many engines takes to show, in which requests are resumed at engines that
     * fail next. */
    duration min_doubt_time = milliseconds(500);
    /** Part of all crashes since its first one that a trait must have to be
     *  blocked: in an outage of many engines a request may meet several of
     *  them. */
    double min_crash_share = 1.0 / 3;
    /** Number of crashed engines from which on the share doesn't matter. */
    std::size_t certain_crashed_engines = 5;
    /** How long a crash is counted that does not lead to a block. */
    duration crash_ttl = milliseconds(60'000);
    /** How long a block holds after the last request that it refused. */
    duration block_ttl = milliseconds(3'600'000);
    /** Time from a block to the first trial of it; each further trial comes
     *  after four times as long. */
    duration first_trial_after = milliseconds(600'000);
    /** A trait is not blocked while this VM served a request with it that
     *  began within this time. Shorter than the time in which the fleet must
     *  learn of a crash. */
    duration served_period = milliseconds(1'500);
    /** Maximum number of traits in the record of one VM. */
    std::size_t max_traits = 256;
};

/** For each engine incarnation that went down while it had a request with a
 *  trait: true if the request was sent although the trait had been suspected
 * for some time. */
using crashed_engines = std::map<server_id, bool>;

/** The crashes that one VM saw and those that it found unrelated to a trait, as
 *  published to the other VMs. */
struct vm_crashes
{
    std::map<request_trait, crashed_engines> crashes;
    std::map<request_trait, std::set<server_id>> cleared;

    bool operator==(const vm_crashes&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_crashes);

/** A request that an engine had when it went down. */
struct crash_sighting
{
    std::vector<request_trait> traits;
    server_id engine; ///< Its incarnation.
    time_point sent{};

    bool operator==(const crash_sighting&) const = default;
};

/**
 * Finds out which requests crash engines, from the crashes that all VMs saw.
 *
 * When an engine goes down, all traits of the requests that it had are
 * suspected. A request with a suspected trait that is served clears the trait
 * of the crashes that were known when its answer began, since a trait that
 * crashes engines does so whenever an answer begins. A trait is blocked if
 * enough crashes remain that no other blocked trait explains, and one of them
 * hit a request that was sent after another one was known: an outage that takes
 * down many engines at once says nothing of the requests on them. Traits that
 * remain with exactly the same crashes can't be told apart; then only requests
 * that have all of them are blocked.
 */
class crash_record
{
public:
    explicit crash_record(crash_options options = {});

    /** Records a request that an engine had when it went down. */
    void record_crash(const crash_sighting& sighting, time_point now);
    /** Records that a request was served.
     *  @param answer_began When its answer's first byte arrived.
     *  @return True if that clears what the other VMs should know. */
    bool record_served(const std::vector<request_trait>& traits,
                       time_point answer_began, time_point now);
    /** Extends the blocks that refused a request. */
    void record_refused(const std::vector<request_trait>& traits,
                        time_point now);
    /** Records that a request was sent although it is blocked. */
    void record_trial(const trait_combination& combination, time_point now);
    /** Replaces what another VM published; nothing if its entry is gone.
     *  Crashes behind a block that it no longer lists are kept as this VM's
     *  own, so that the block outlasts that VM.
     *  @return True if this VM has to publish its crashes. */
    bool replace_peer_crashes(const vm_id& vm, vm_crashes published,
                              time_point now);
    /** Restores what this VM published before its process restarted. */
    void restore_own(const vm_crashes& published, time_point now);

    /** Drops what has expired and updates the blocks. */
    void update(time_point now);
    /** Records that the other VMs can read what own() returns. */
    void mark_published() { cleared_unpublished_.clear(); }
    /** @return What this VM publishes, as of the last update. */
    [[nodiscard]] vm_crashes own() const;
    /** @return Combinations of traits whose requests must not be sent to any
     *  engine, as of the last update. */
    [[nodiscard]] const std::vector<trait_combination>& blocked() const
    {
        return blocked_;
    }
    /** @return Blocks that should be tried with one request, so that a block of
     *  sound requests ends: nothing else clears it once all are refused. One VM
     *  of the fleet may do so. */
    [[nodiscard]] std::vector<trait_combination>
    due_trials(time_point now) const;
    /** @return Traits with crashes that nobody has cleared, as of the last
     *  update. */
    [[nodiscard]] std::set<request_trait> suspected() const;

private:
    /** A crash that this VM publishes. */
    struct own_crash
    {
        bool sent_in_doubt = false;
        time_point recorded{};
    };

    struct peer_report
    {
        vm_crashes published;
        time_point received{};
    };

    /** A trait whose crashes are sufficient for a block. */
    struct suspicion
    {
        request_trait trait;
        crashed_engines engines;
        bool cleared_before = false; ///< Of other crashes, by any VM.
        /** Engines that went down since the trait's first crash. */
        std::size_t all_crashed = 0;

        /** @return True if enough crashes are left for a block. */
        [[nodiscard]] bool sufficient(const crash_options& options) const;
    };

    /** What this VM knows of a trait since it was first suspected. */
    struct trait_knowledge
    {
        std::map<server_id, time_point> learned; ///< By crashed engine.
        std::optional<time_point> served;        ///< Latest start of an answer.
        bool cleared_before = false;
        time_point changed{};
    };

    /** State of a blocked trait. */
    struct hold
    {
        time_point until{};
        time_point next_trial{};
        duration trial_interval{}; ///< Before the next trial.
    };

    void learn(const request_trait& trait, const server_id& engine,
               time_point now);
    /** Records crashes as this VM's own. */
    void adopt(const request_trait& trait, const crashed_engines& engines,
               time_point now);
    [[nodiscard]] bool is_held(const request_trait& trait,
                               time_point now) const;
    [[nodiscard]] bool is_cleared(const request_trait& trait,
                                  const server_id& engine) const;
    /** Updates open_ and cleared_ from the own crashes and the reports. */
    void combine_reports();
    /** @return Suspicions that are sufficient for a block, the most probable
     *  first. */
    [[nodiscard]] std::vector<suspicion> candidates(time_point now) const;
    /** @return Number of engines that went down since the first of these. */
    [[nodiscard]] std::size_t
    crashed_since(const crashed_engines& engines) const;
    void expire(time_point now);
    void expire_knowledge(time_point now);
    void limit_size(time_point now);

    crash_options options_;
    std::map<request_trait, std::map<server_id, own_crash>> own_crashes_;
    std::map<request_trait, std::set<server_id>> own_cleared_;
    /** Traits of own crashes that were cleared while no other VM suspected
     *  them, and that the entry of this VM still lists. */
    std::set<request_trait> cleared_unpublished_;
    std::map<vm_id, peer_report> reports_;
    std::map<request_trait, trait_knowledge> knowledge_;
    /** When this VM learned of each crash, of whatever request. */
    std::map<server_id, time_point> learned_crashes_;
    std::map<request_trait, hold> holds_; ///< Of blocked traits.
    std::vector<trait_combination> blocked_;

    // Of all VMs, as of the last update:
    std::map<request_trait, crashed_engines> open_; ///< Not cleared.
    std::map<request_trait, std::set<server_id>> listed_by_peers_;
    std::map<request_trait, std::set<server_id>> cleared_;
};

} // namespace rosemarydeck
