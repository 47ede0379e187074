/** @file control_service_base.hpp Follows the store for this VM. */
#pragma once

#include "gateway/store_link_base.hpp"
#include "ledger/ledger_keeper_base.hpp"
#include "router/crash_record_base.hpp"
#include "router/engine_directory_base.hpp"

#include <functional>

namespace rosemarydeck
{

/** How control state is kept. */
struct control_options
{
    gateway_settings settings;
    instance_id self;
    /** Called with each new view of the fleet. */
    std::function<void(std::shared_ptr<const fleet_view>)> publish;
};

/**
 * Keeps configuration, engines and budgets in step with the store. Its fibers
 * run on the control thread.
 */
class control_service
{
public:
    control_service(boost::asio::io_context& io, control_options options,
                    wallet& purse, event_log& log, gateway_metrics& metrics);

    /** Starts the fibers that follow the store. */
    void start();
    /** Renews budgets soon; on the control thread. */
    void renew_soon();
    /** Notes that an engine went down with a request. */
    void note_crash(const request_fingerprint& request,
                    const server_id& engine);
    /** Notes that a suspected request was served. */
    void clear_crash(const request_fingerprint& request);
    /** Returns unspent headroom; suspends the fiber. */
    void close_budgets();

    /** @return True if clients may be sent here. */
    [[nodiscard]] bool ready() const;

private:
    // Configuration and engines.
    void follow(const std::string& kind);
    bool load(const std::string& kind, std::uint64_t& revision);
    bool watch(const std::string& kind, std::uint64_t& revision);
    void apply(const std::string& kind,
               const std::vector<platform::store_event>& events);
    void apply_config(const platform::store_object& object);
    void apply_engine(const platform::store_event& event);
    void drop_lapsed();
    void publish();

    // Budgets.
    void keep_budgets();
    void renew_budgets();
    bool know_layout();
    void ask_other_cells();
    bool ask_cell(std::uint32_t donor, const customer_id& customer);
    bool read_ledger(bool stale);
    bool write_ledger(const ledger_write& write);
    [[nodiscard]] std::map<customer_id, token_count> prepaid() const;
    void note_rests();
    void share_crashes();
    void log_budgets(const ledger_write& write);
    [[nodiscard]] clock_reading read_clocks() const;

    boost::asio::io_context& io_;
    control_options options_;
    wallet& purse_;
    event_log& log_;
    gateway_metrics& metrics_;
    runtime_clock clock_;
    store_link store_;
    std::shared_ptr<const config_index> config_;
    engine_directory directory_;
    bool engines_known_ = false;
    std::uint64_t seen_recoveries_ = 0;
    ledger_keeper keeper_;
    std::optional<ledger_layout> layout_;
    std::uint32_t cell_ = 0;
    std::string ledger_name_;
    std::uint32_t next_donor_ = 0;
    time_point last_gift_{};
    crash_record crashes_;
    std::set<request_fingerprint> suspected_;
    std::set<request_fingerprint> blocked_;
    boost::asio::steady_timer renew_timer_;
    bool renew_wanted_ = false;
    bool closing_ = false;
    time_point started_ = clock_.now();
    time_point last_renewal_{};
};

} // namespace rosemarydeck
