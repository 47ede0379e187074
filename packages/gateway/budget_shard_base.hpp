/** @file budget_shard_base.hpp Renewal of this VM's grants in one shard. */
#pragma once

#include "gateway/store_client_base.hpp"
#include "ledger/ledger_writer_base.hpp"

#include <functional>
#include <set>

namespace rosemarydeck
{

/** One shard of the ledger, and when this VM renews its grants there. */
struct budget_shard_options
{
    ledger_writer_options writer;
    std::string name;            ///< Name of the shard's object in the store.
    duration renewal_interval{}; ///< See ledger_plan.
    duration shortage_backoff{}; ///< See ledger_plan.
    /** @return Prepaid totals of the shard's customers, as configured. */
    std::function<std::map<customer_id, token_count>()> prepaid_totals;
};

/**
 * Keeps this VM's grants in one shard. A fiber on the control thread writes
 * what was spent and what is in demand, and updates the wallet.
 */
class budget_shard
{
public:
    budget_shard(boost::asio::io_context& io, budget_shard_options options,
                 store_client& store, wallet& local_wallet, event_log& log);

    /** Starts the fiber that renews the grants. */
    void start();
    /** Renews before the interval is over, at most once per minimum interval.
     */
    void renew_soon();
    /** Ends this run's membership and returns its headroom; suspends the
     *  fiber. */
    void close();

    /** @return True once the shard holds a write of this run. */
    [[nodiscard]] bool joined() const { return writer_.joined(); }

private:
    void run();
    void renew();
    bool read(bool allow_stale);
    bool write(const ledger_write& write);
    bool apply_state(const std::optional<platform::store_object>& object);
    void record_consumed();
    void log_closings(const ledger_write& write);
    void log_renewal(const ledger_write& write);
    void log_customers(const ledger& value);
    void log_open_runs(const ledger& value);
    void await_next_renewal();
    [[nodiscard]] duration next_renewal_delay() const;
    [[nodiscard]] clock_reading read_clocks() const;

    boost::asio::io_context& io_;
    budget_shard_options options_;
    store_client& store_;
    wallet& wallet_;
    event_log& log_;
    runtime_clock clock_;
    ledger_writer writer_;
    boost::asio::steady_timer timer_;
    bool renewal_requested_ = false; ///< Set by renew_soon().
    bool closing_ = false;
    time_point started_ = clock_.now();
    time_point last_renewal_{};
    time_point next_customer_log_{};
    std::set<instance_id> logged_open_; ///< Open runs that were logged.
};

} // namespace rosemarydeck
