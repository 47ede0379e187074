/** @file control_service_base.hpp Follows the store for this VM. */
#pragma once

#include "gateway/budget_shard_base.hpp"
#include "gateway/credit_service_base.hpp"
#include "gateway/store_client_base.hpp"
#include "router/crash_record_base.hpp"
#include "router/engine_directory_base.hpp"
#include "router/fleet_presence_base.hpp"

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
                    wallet& local_wallet, credit_pool& credit, event_log& log,
                    gateway_metrics& metrics);

    /** Starts the fibers that follow the store. */
    void start();
    /** Looks for tokens that a request lacks. */
    void request_budget(const customer_id& customer, token_count tokens);
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
    [[nodiscard]] expected<platform::store_list>
    list_all(const std::string& kind, bool stale);
    void take_engines(const platform::store_list& list);
    bool watch(const std::string& kind, std::uint64_t& revision);
    void apply(const std::string& kind,
               const std::vector<platform::store_event>& events);
    void apply_config(const platform::store_object& object);
    void apply_engine(const platform::store_event& event);
    void drop_lapsed();
    void publish();

    // Budgets.
    void keep_budgets();
    bool know_layout();
    bool resume_parts();
    budget_shard& part(std::uint32_t number);
    void renew_changed(const router_config& before);
    credit_reply give(const credit_request& ask);
    void find_credit(const customer_id& customer, token_count tokens);
    void join_own_parts();
    [[nodiscard]] fleet_vm self() const;
    [[nodiscard]] std::optional<token_count>
    budget_of(const customer_id& customer) const;
    [[nodiscard]] std::vector<customer_id> budgeted() const;
    [[nodiscard]] std::map<customer_id, token_count>
    prepaid(std::uint32_t number) const;
    [[nodiscard]] ledger_writer_options keeper_options() const;

    // What VMs tell each other.
    void keep_presence();
    bool beat();
    void list_presence();
    void remove_forgotten();
    void leave_fleet();
    bool put_own(const char* kind, const nlohmann::json& spec,
                 std::uint64_t& revision);
    void apply_crashes(const platform::store_event& event);
    void crashes_changed();
    void tell_crashes();
    void note_blocked();

    boost::asio::io_context& io_;
    control_options options_;
    wallet& wallet_;
    event_log& log_;
    gateway_metrics& metrics_;
    runtime_clock clock_;
    store_client store_;
    std::shared_ptr<const config_index> config_;
    engine_directory directory_;
    bool engines_known_ = false;
    std::optional<ledger_layout> layout_;
    std::map<std::uint32_t, std::unique_ptr<budget_shard>> parts_;
    bool budgets_known_ = false; ///< Where they stand, not what is left.
    credit_service credits_;
    fleet_presence presence_;
    vm_presence own_presence_;
    std::uint64_t presence_revision_ = 0;
    crash_record crashes_;
    std::uint64_t crash_revision_ = 0;
    bool own_crashes_read_ = false; ///< Or replaced.
    bool crashes_untold_ = false;
    bool telling_crashes_ = false;
    std::set<request_fingerprint> suspected_;
    std::set<request_fingerprint> blocked_;
    bool closing_ = false;
    time_point started_ = clock_.now();
};

} // namespace rosemarydeck
