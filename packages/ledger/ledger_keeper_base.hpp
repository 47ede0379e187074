/** @file ledger_keeper_base.hpp Keeps this VM's grants in the ledger. */
#pragma once

#include "ledger/ledger_cmd.hpp"

#include <optional>

namespace rosemarydeck
{

/** How the keeper renews. */
struct ledger_keeper_options
{
    instance_id self;
    ledger_member member;
    double cover_seconds = 12;
    double first_share = 0.05;
    /** A run that has not written for so long is over. */
    duration silent_after = milliseconds(25'000);

    using milliseconds = std::chrono::milliseconds;
};

/** A conditional write of the ledger. */
struct ledger_write
{
    ledger next;
    std::uint64_t condition = 0; ///< Revision to replace; 0 creates it.
};

/**
 * Decides each write of the ledger and what an answer, or its absence, means
 * for the wallet. A grant is lowered before the write that returns it is sent,
 * and raised only once the store's state proves it; a write whose answer was
 * lost counts both ways until a later revision settles it.
 */
class ledger_keeper
{
public:
    ledger_keeper(ledger_keeper_options options, wallet& purse);

    /** @param prepaid Of each customer with a budget. @return The write. */
    ledger_write prepare(const std::map<customer_id, token_count>& prepaid,
                         time_point now);
    /** @return The write that ends this run. */
    ledger_write prepare_close(time_point now);
    /** The prepared write was done. @param revision The ledger's new one. */
    void written(std::uint64_t revision, time_point now);
    /** The ledger was read, or a write conflicted with it.
     *  @param current None if it does not exist. */
    void refreshed(std::optional<ledger> current, std::uint64_t revision,
                   time_point now);
    /** The prepared write has no answer, or was turned away. */
    void unanswered();

    /** @return Runs that may be spending, this one included. */
    [[nodiscard]] std::uint32_t live_runs() const;
    /** @return Members other than this one, as last known. */
    [[nodiscard]] std::vector<ledger_member> others() const;
    /** @return True once a write of this run is in the ledger. */
    [[nodiscard]] bool joined() const { return joined_; }
    /** @return True if the state is known well enough to write. */
    [[nodiscard]] bool fresh() const { return fresh_; }
    /** @return What no run has reported as spent, as last known. */
    [[nodiscard]] token_count unspent_of(const customer_id& customer,
                                         token_count prepaid) const;

private:
    struct sighting
    {
        std::uint64_t beat = 0;
        time_point seen{};
    };

    void take_over(const ledger& current, time_point now);
    [[nodiscard]] token_count burnt(const customer_id& customer) const;

    ledger_keeper_options options_;
    wallet& purse_;
    ledger current_;
    std::uint64_t revision_ = 0;
    std::optional<ledger_write> pending_;
    std::optional<std::uint64_t> doubtful_; ///< Condition of a lost write.
    std::map<instance_id, sighting> sightings_;
    /** Grants of this run that others have closed as fully spent. */
    std::map<customer_id, token_count> burnt_;
    bool joined_ = false;
    bool fresh_ = false;
};

} // namespace rosemarydeck
