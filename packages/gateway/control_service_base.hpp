/** @file control_service_base.hpp Control plane of one VM. */
#pragma once

#include "gateway/budget_shard_base.hpp"
#include "gateway/credit_service_base.hpp"
#include "gateway/store_client_base.hpp"
#include "gateway/traffic_context_type.hpp"
#include "router/config_knowledge_base.hpp"
#include "router/config_poll_base.hpp"
#include "router/confirmer_selector_base.hpp"
#include "router/engine_directory_base.hpp"
#include "router/fleet_presence_base.hpp"
#include "router/vm_report_type.hpp"

#include <functional>

namespace rosemarydeck
{

/** Settings, identity and callback of the control service. */
struct control_options
{
    gateway_settings settings;
    instance_id self; ///< This run of the daemon.
    /** Receives each new view of the fleet, on the control thread. */
    std::function<void(std::shared_ptr<const fleet_view>)> publish;
};

/**
 * Synchronizes configuration, engines, crash records, presence and budgets
 * with the store. Its fibers run on the control thread.
 */
class control_service
{
public:
    control_service(boost::asio::io_context& io, control_options options,
                    wallet& local_wallet, credit_pool& credit,
                    stream_registry& streams, config_knowledge& knowledge,
                    memory_account& memory, event_log& log,
                    gateway_metrics& metrics);

    /** Starts the fibers that synchronize with the store. */
    void start();
    /** Starts to acquire tokens that a request lacks: by renewing the grant
     *  or as credit from other VMs. */
    void request_budget(const customer_id& customer, token_count tokens);
    /** Records a request that an engine had when it went down. */
    void report_crash(const crash_sighting& sighting);
    /** Clears the traits of a suspected request that was served. */
    void report_suspect_served(const std::vector<request_trait>& traits,
                               time_point answer_began);
    /** Extends the block that refused a request. */
    void report_crashing_refused(const std::vector<request_trait>& traits);
    /** Records that a blocked request was sent as a trial. */
    void report_trial(const trait_combination& combination);
    /** Records what an incarnation of an engine said of itself. */
    void report_notice(const server_id& engine, const engine_notice& notice);
    /** Records the configuration version that another VM uses, and starts to
     *  read it there if it is newer. */
    void report_config_version(std::uint64_t version, const vm_id& vm);
    /** Answers whether the configuration in force is the store's newest. */
    void check_config(std::shared_ptr<config_check> check);
    /** Answers where a stream began that another VM brought. */
    void find_origin(std::shared_ptr<origin_lookup> lookup);
    /** Returns credit and unspent headroom; if the ledger has several shards,
     *  also removes this VM's presence entry. Suspends the fiber. */
    void close_budgets();

    /** Leaves the load balancer's rotation while this VM is overloaded, if
     *  enough VMs of its data centre stay, and joins it again afterwards.
     *  @return True while this VM is out of rotation. */
    bool update_rotation(bool overloaded, double utilization);
    /** @return True if this VM can serve clients. */
    [[nodiscard]] bool ready() const;

private:
    // Configuration and engines.
    /** Starts the fibers that follow the objects of a kind. */
    void follow(const char* kind);
    void synchronize(const std::string& kind);
    /** @return True if the objects of a kind have to be listed again, although
     *  the last call succeeded. */
    [[nodiscard]] bool must_reload(const std::string& kind) const;
    /** @return Pause between two watches of a kind. */
    [[nodiscard]] duration pause_after(const std::string& kind) const;
    bool load(const std::string& kind);
    [[nodiscard]] expected<platform::store_list>
    list_all(const std::string& kind, bool allow_stale);
    void replace_engines(const platform::store_list& list);
    bool watch(const std::string& kind);
    /** Records the answer of a list or a watch of a kind, once it is applied.
     */
    void record_answer(const std::string& kind, sync_answer answer,
                       std::uint64_t revision);
    /** Checks the watches of a kind for as long as the process runs. */
    void run_watch_checks(const std::string& kind);
    void check_watch(const std::string& kind);
    /** Asks the store for changes that the watch of a kind hasn't told.
     *  @param allow_stale The answer may be out of date, and costs less.
     *  @return The changes; true if the store has lost them, false if there is
     *          no usable answer. */
    tl::expected<platform::store_changes, bool>
    look_for_news(const std::string& kind, bool allow_stale);
    /** Ends the watch of a kind if it should have told what a check found. */
    void replace_overdue_watch(const std::string& kind, std::uint64_t since);
    /** Reads the configuration of the store; suspends the fiber. Unlike a
     *  watch, a read can't miss a version.
     *  @return True if the version in force was the newest at the call. */
    bool read_config();
    void answer_config_checks();
    /** Lets the traffic thread know how current the configuration is. */
    void share_evidence(const std::string& kind);
    void log_syncs();
    /** Sets the metrics that tell how current this VM's knowledge is. */
    void report_ages();
    void apply(const std::string& kind,
               const std::vector<platform::store_event>& events);
    /** Takes a configuration into force if it is newer.
     *  @param from The VM that had it; empty for the store. */
    void apply_config(const platform::store_object& object,
                      const vm_id& from = {});
    /** Asks another VM for its configuration, if that is newer, and how long
     *  ago it was the newest; suspends the fiber.
     *  @param confirm_within The VM asks the store if it has known for longer;
     *         none: it tells what it knows.
     *  @return True if the version in force was the newest a moment ago. */
    bool ask_vm(const relay_peer& peer,
                std::optional<milliseconds> confirm_within);
    /** Asks other VMs or the store; suspends the fiber.
     *  @return True if the version in force was the newest a moment ago. */
    bool confirm_config();
    void run_config_polls();
    /** Asks another VM for a newer configuration if that is due; suspends the
     *  fiber. */
    void poll_config();
    void apply_engine(const platform::store_event& event);
    void replace_evacuations(const platform::store_list& list);
    void apply_evacuation(const platform::store_event& event);
    void log_unreadable(const std::string& kind,
                        const std::vector<platform::unreadable_object>& faults);
    void log_unreadable_engine(const platform::store_object& object,
                               const error& fault);
    void run_housekeeping();
    void publish_view();

    // Budgets.
    void start_budgets();
    bool ensure_layout();
    bool resume_shards();
    budget_shard& open_shard(std::uint32_t number);
    void renew_changed_budgets(const router_config& before);
    credit_reply grant_credit(const credit_request& request);
    void acquire_credit(const customer_id& customer, token_count tokens);
    void join_home_shards();
    [[nodiscard]] fleet_vm self() const;
    [[nodiscard]] std::optional<token_count>
    prepaid_budget(const customer_id& customer) const;
    [[nodiscard]] std::vector<customer_id> budgeted_customers() const;
    [[nodiscard]] std::map<customer_id, token_count>
    prepaid_totals(std::uint32_t number) const;
    [[nodiscard]] ledger_writer_options writer_options() const;

    // Presence and reports of the VMs.
    void run_presence();
    bool send_heartbeat();
    void refresh_presence();
    void remove_expired_vms();
    /** @return VMs that take requests for this one. */
    [[nodiscard]] std::vector<relay_peer> relays() const;
    void log_store_calls();
    void leave_fleet();
    bool write_own_object(const char* kind, const nlohmann::json& spec,
                          std::uint64_t& revision);
    void apply_report(const platform::store_event& event);
    void on_report_changed();
    void publish_report();
    /** @return What this VM publishes to the others now. */
    [[nodiscard]] vm_report own_report() const;
    /** Publishes anew if the entry still lists what has expired. */
    void withdraw_old_report();
    void drop_old_notices();
    /** Updates the blocks once for all that is learned at the same time: an
     *  outage of engines reports many requests at once. */
    void schedule_update_blocked();
    void update_blocked();
    void log_blocked(const std::vector<trait_combination>& blocked);

    // Streams that clients may take up.
    void run_streams();
    /** Reads the entries of all VMs. @param restore_own Take over the entry of
     *  this VM's previous run. */
    bool read_stream_reports(bool restore_own);
    void publish_streams();
    void find_origins();

    boost::asio::io_context& io_;
    control_options options_;
    wallet& wallet_;
    stream_registry& streams_;
    config_knowledge& knowledge_;
    event_log& log_;
    gateway_metrics& metrics_;
    runtime_clock clock_;
    boot_clock boot_clock_; ///< For the ages of confirmations.
    sync_intervals intervals_;
    store_client store_;
    std::map<std::string, object_sync> syncs_; ///< By kind.
    /** Ends the watch that waits, by kind. */
    std::map<std::string, http_call_handle*> watch_handles_;
    std::shared_ptr<const config_index> config_;
    /** The configuration in the store's encoding. */
    std::shared_ptr<const std::string> config_text_;
    config_poll config_poll_;
    confirmer_selector confirmers_;
    std::vector<std::shared_ptr<config_check>> config_checks_;
    bool checking_config_ = false; ///< A fiber answers the checks.
    http_client peer_client_;      ///< Calls other VMs.
    engine_directory directory_;
    bool engines_loaded_ = false;
    std::set<dc_id> evacuated_; ///< Data centres whose engines aren't used.
    bool evacuations_loaded_ = false;
    std::optional<ledger_layout> layout_;
    std::map<std::uint32_t, std::unique_ptr<budget_shard>> shards_;
    /** True once the shards that this VM must resume are open. */
    bool budgets_started_ = false;
    credit_service credit_service_;
    fleet_presence presence_;
    vm_presence own_presence_;
    std::uint64_t presence_revision_ = 0;
    time_point next_call_summary_{};
    crash_record crashes_;
    notice_board notices_;
    std::uint64_t report_revision_ = 0;
    /** True once this VM's report was read from the store or written there. */
    bool own_report_read_ = false;
    bool report_unpublished_ = false;
    bool publishing_report_ = false;
    /** What this VM's entry in the store holds, and since when. */
    vm_report published_report_;
    time_point report_published_at_{};
    bool reports_loaded_ = false; ///< All VMs' entries were read once.
    std::set<request_trait> suspected_;
    std::vector<trait_combination> blocked_;
    std::vector<trait_combination> trials_;
    bool update_scheduled_ = false;
    std::uint64_t stream_revision_ = 0;
    bool streams_loaded_ = false; ///< All VMs' entries were read once.
    bool streams_published_ = false;
    std::vector<std::shared_ptr<origin_lookup>> origin_lookups_;
    bool finding_origins_ = false; ///< A fiber answers the lookups.
    time_point next_block_update_{};
    bool closing_ = false;
    time_point started_ = clock_.now();
    time_point boot_started_ = boot_clock_.now();
};

} // namespace rosemarydeck
