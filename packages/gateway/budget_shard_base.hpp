/** @file budget_shard_base.hpp Keeps this VM's grants in one ledger. */
#pragma once

#include "gateway/store_client_base.hpp"
#include "ledger/ledger_writer_base.hpp"

#include <functional>

namespace rosemarydeck
{

/** One ledger, and when this VM writes it. */
struct budget_shard_options
{
    ledger_writer_options keeper;
    std::string name; ///< Of the ledger in the store.
    duration renewal_interval =
        milliseconds(2'000); ///< While nothing is short.
    /** Others give back headroom within their own renewals. */
    duration short_span = milliseconds(700);
    /** Prepaid totals of this part's customers, by the configuration. */
    std::function<std::map<customer_id, token_count>()> prepaid;
};

/**
 * This VM's side of one ledger: a fiber writes what was spent and what is
 * wanted, and tells the wallet what it may spend. On the control thread.
 */
class budget_shard
{
public:
    budget_shard(boost::asio::io_context& io, budget_shard_options options,
                 store_client& store, wallet& local_wallet, event_log& log);

    /** Starts the fiber that renews. */
    void start();
    /** Renews soon. */
    void renew_soon();
    /** Ends this run's part and returns its headroom; suspends the fiber. */
    void close();

    /** @return True once a write of this run is in the ledger. */
    [[nodiscard]] bool joined() const { return keeper_.joined(); }

private:
    void run();
    void renew();
    bool read(bool stale);
    bool write(const ledger_write& write);
    bool refresh(const std::optional<platform::store_object>& object);
    void record_consumed();
    void log_closings(const ledger_write& write);
    void log_renewal(const ledger_write& write);
    void pause();
    [[nodiscard]] duration next_pause() const;
    [[nodiscard]] clock_reading read_clocks() const;

    boost::asio::io_context& io_;
    budget_shard_options options_;
    store_client& store_;
    wallet& wallet_;
    event_log& log_;
    runtime_clock clock_;
    ledger_writer keeper_;
    boost::asio::steady_timer timer_;
    bool wanted_ = false;
    bool closing_ = false;
    time_point started_ = clock_.now();
    time_point last_renewal_{};
};

} // namespace rosemarydeck
