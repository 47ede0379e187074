/** @file ledger_writer_base.hpp Preparation of a run's ledger shard writes. */
#pragma once

#include "ledger/ledger_cmd.hpp"

#include <optional>

namespace rosemarydeck
{

/** Identity and parameters of a ledger_writer. */
struct ledger_writer_options
{
    instance_id self;
    ledger_member member; ///< Clock readings are set on each write.
    ledger_policy policy;
    /** Start of this run; none if unknown. */
    std::optional<time_point> started;
    /** Time without a write after which a run counts as ended. */
    duration liveness_timeout = std::chrono::milliseconds(25'000);
};

/** The VM's clocks at one moment. */
struct clock_reading
{
    time_point now{};         ///< Monotonic clock of the runtime.
    std::int64_t wall_ms = 0; ///< Unix time.
    std::int64_t boot_ms = 0; ///< Time since the VM booted.
};

/** A conditional write of a ledger shard. */
struct ledger_write
{
    ledger next;
    std::uint64_t condition = 0;       ///< Revision to replace; 0 to create.
    std::vector<run_closing> closings; ///< Runs closed by this write.
};

/**
 * Prepares the conditional writes of a ledger shard and updates the wallet's
 * terms according to their results. The limit of a share applies from before
 * its write is sent; older limits are removed only once the store's state
 * proves which write is in force.
 */
class ledger_writer
{
public:
    ledger_writer(ledger_writer_options options, wallet& local_wallet);

    /** Prepares a renewal. @param prepaid Totals of customers with a budget. */
    ledger_write prepare(const std::map<customer_id, token_count>& prepaid,
                         const clock_reading& clock);
    /** Prepares the write that closes this run. No request may be open. */
    ledger_write prepare_close(const clock_reading& clock);
    /** The prepared write was accepted. @param revision New ledger revision. */
    void written(std::uint64_t revision, time_point now);
    /** The ledger was read, also after a write conflict.
     *  @param current None if it does not exist. */
    void refreshed(std::optional<ledger> current, std::uint64_t revision,
                   time_point now);
    /** The prepared write got no answer or was rejected. */
    void unanswered();

    /** @return Number of VMs with a run that is not closed, and this VM. */
    [[nodiscard]] std::uint32_t live_vms() const;
    /** @return True while the ledger holds a share written by this run. */
    [[nodiscard]] bool joined() const { return joined_; }
    /** @return Customers whose unmet demand exceeds the headroom of the last
     *  renewal, each with the smallest number of tokens that exceeds it. */
    [[nodiscard]] const std::map<customer_id, token_count>& shortages() const
    {
        return shortages_;
    }
    /** Marks the state as outdated. To be called when other VMs have probably
     *  written since: another read costs less than a write conflict. */
    void mark_stale() { fresh_ = false; }
    /** @return True if the state is recent enough for a write. */
    [[nodiscard]] bool fresh() const { return fresh_; }
    /** @return Last known state of the ledger. */
    [[nodiscard]] const ledger& current() const { return current_; }

private:
    struct beat_observation
    {
        std::uint64_t beat = 0;
        time_point seen{}; ///< When this value was first read.
    };
    struct sent_write
    {
        std::uint64_t beat = 0;
        time_point sent{};
    };

    void apply_state(ledger current, time_point now);
    void replace_wallet_terms();
    void reset_closed_run();
    void record_beats(time_point now);
    [[nodiscard]] token_count offset(const customer_id& customer) const;
    [[nodiscard]] wallet_usage usage(const customer_id& customer,
                                     time_point now);

    ledger_writer_options options_;
    wallet& wallet_;
    ledger current_;
    std::uint64_t revision_ = 0;
    std::optional<ledger_write> pending_;
    /** Condition of the last write that got no answer. */
    std::optional<std::uint64_t> unanswered_condition_;
    std::map<instance_id, beat_observation> observed_beats_;
    std::deque<sent_write> sent_; ///< Newest last.
    std::deque<own_write> own_writes_;
    /** Part of the wallet's totals that was charged when this run was closed by
     *  another one. */
    std::map<customer_id, token_count> offsets_;
    std::map<customer_id, token_count> shortages_;
    bool joined_ = false;
    bool fresh_ = false;
};

} // namespace rosemarydeck
