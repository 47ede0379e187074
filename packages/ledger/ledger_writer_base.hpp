/** @file ledger_writer_base.hpp Keeps this VM's grants in the ledger. */
#pragma once

#include "ledger/ledger_cmd.hpp"

#include <optional>

namespace rosemarydeck
{

/** How the keeper renews. */
struct ledger_writer_options
{
    instance_id self;
    ledger_member member; ///< Its clock readings are set for each write.
    ledger_policy policy;
    /** A run that has not written for so long is over. */
    duration liveness_timeout = std::chrono::milliseconds(25'000);
};

/** The VM's clocks at one moment. */
struct clock_reading
{
    time_point now{}; ///< Of the runtime's clock, which never jumps.
    std::int64_t wall_ms = 0;
    std::int64_t boot_ms = 0;
};

/** A conditional write of the ledger. */
struct ledger_write
{
    ledger next;
    std::uint64_t condition = 0;       ///< Revision to replace; 0 creates it.
    std::vector<run_closing> closings; ///< Of other runs.
};

/**
 * Decides each write of the ledger and what an answer, or its absence, means
 * for the wallet. The wallet is bound to a share from before the write that
 * holds it is sent, and freed from older ones only once the store's state
 * proves which write is in force.
 */
class ledger_writer
{
public:
    ledger_writer(ledger_writer_options options, wallet& local_wallet);

    /** @param prepaid Of each customer with a budget. @return The write. */
    ledger_write prepare(const std::map<customer_id, token_count>& prepaid,
                         const clock_reading& clock);
    /** @return The write that ends this run. No request may be in flight. */
    ledger_write prepare_close(const clock_reading& clock);
    /** The prepared write was done. @param revision The ledger's new one. */
    void written(std::uint64_t revision, time_point now);
    /** The ledger was read, or a write conflicted with it.
     *  @param current None if it does not exist. */
    void refreshed(std::optional<ledger> current, std::uint64_t revision,
                   time_point now);
    /** The prepared write has no answer, or was turned away. */
    void unanswered();

    /** @return VMs that may draw on this ledger, this one included. */
    [[nodiscard]] std::uint32_t live_vms() const;
    /** @return True once a write of this run is in the ledger. */
    [[nodiscard]] bool joined() const { return joined_; }
    /** @return By customer that is short, the least that is not there. */
    [[nodiscard]] const std::map<customer_id, token_count>& shortages() const
    {
        return short_;
    }
    /** Other VMs have probably written since; a read is cheaper than a write
     *  that conflicts. */
    void mark_stale() { fresh_ = false; }
    /** @return True if the state is known well enough to write. */
    [[nodiscard]] bool fresh() const { return fresh_; }
    /** @return The ledger as last known. */
    [[nodiscard]] const ledger& current() const { return current_; }

private:
    struct sighting
    {
        std::uint64_t beat = 0;
        time_point seen{};
    };
    struct sent_write
    {
        std::uint64_t beat = 0;
        time_point sent{};
    };

    void take_over(ledger current, time_point now);
    void bind_wallet();
    void start_over();
    void note_sightings(time_point now);
    [[nodiscard]] token_count offset(const customer_id& customer) const;
    [[nodiscard]] wallet_usage usage(const customer_id& customer,
                                     time_point now);

    ledger_writer_options options_;
    wallet& wallet_;
    ledger current_;
    std::uint64_t revision_ = 0;
    std::optional<ledger_write> pending_;
    std::optional<std::uint64_t> doubtful_; ///< Condition of a lost write.
    std::map<instance_id, sighting> sightings_;
    std::deque<sent_write> sent_; ///< Newest last.
    std::deque<own_write> own_writes_;
    /** Spending of this run that others have closed. */
    std::map<customer_id, token_count> offsets_;
    std::map<customer_id, token_count> short_;
    bool joined_ = false;
    bool fresh_ = false;
};

} // namespace rosemarydeck
