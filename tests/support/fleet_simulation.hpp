/** @file fleet_simulation.hpp A few decision cores joined by a bag of messages.
 */
#pragma once

#include "core/decision_core_base.hpp"
#include "object_service/object_store_base.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace rosemarydeck::simulation
{

/** How one request ended for its caller, or that it has not. */
struct caller_record
{
    customer_id customer;
    idempotency_key key;
    std::size_t vm = 0;
    time_point sent;
    std::optional<time_point> finished;
    std::optional<refuse_request> refused;
    std::optional<request_id> joined;
    bool relayed = false;
    bool dispatched = false; ///< Sent to a backend server at least once.
    bool alone = false;      ///< Finished with no other VM live there.
};

/** What the backend servers have run for one key. */
struct run_record
{
    int begun = 0;
    int finished = 0;
};

/** Faults of the platform, as chances out of a thousand. */
struct platform_faults
{
    int lost_answer = 0;  ///< Takes effect, answer lost.
    int lost_request = 0; ///< No effect, answer lost.
    int late_write = 0;   ///< Answer lost, takes effect much later.
};

/** One VM in the bag. */
struct bag_vm
{
    vm_id name;
    dc_id data_centre;
    instance_id instance;
    std::unique_ptr<decision_core> core;
    bool alive = false;
    bool paused = false;
    bool platform_cut = false;
    bool drained = false;
    time_point woken;             ///< When the next clock_tick is planned.
    std::vector<core_event> held; ///< While it is paused.
};

/** Runs cores, platform and servers on one clock that only tests move. */
class fleet_simulation
{
public:
    explicit fleet_simulation(std::uint64_t seed);

    core_options options; ///< For VMs that are added later.
    platform_faults faults;
    bool platform_down = false;
    duration service_time = std::chrono::milliseconds(50);
    int crash_chance = 0; ///< Of an attempt, out of a thousand.

    /** Starts a VM, or its next run. @return Its number. */
    std::size_t add_vm(const std::string& name, const std::string& dc);
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void drain(std::size_t vm);
    /** Cuts or heals the links between two VMs. */
    void set_link(std::size_t left, std::size_t right, bool up);
    /** Takes a VM off the platform's list. */
    void unlist(std::size_t vm);

    void put_object(const std::string& name, const nlohmann::json& value);
    void add_customer(const std::string& name, token_count prepaid);
    void top_up(const std::string& name, token_count by);
    void add_server(const std::string& name, const std::string& dc,
                    std::int64_t slots, const std::string& target,
                    server_kind kind = server_kind::engine);

    /** Sends a request. @return Its place in callers(). */
    std::size_t submit(std::size_t vm, const std::string& customer,
                       const std::string& key, token_count output = 100,
                       bool repeatable = true, bool relayed = false,
                       std::uint64_t fingerprint = 0);
    void run_for(duration span);

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::vector<bag_vm>& vms() { return vms_; }
    [[nodiscard]] const std::vector<caller_record>& callers() const
    {
        return callers_;
    }
    [[nodiscard]] const std::map<customer_key, run_record>& runs() const
    {
        return runs_;
    }
    [[nodiscard]] account account_of(const std::string& customer);
    /** @return Every stored bill, also a key's second one. */
    [[nodiscard]] std::vector<bill> bills();
    [[nodiscard]] const std::vector<timeline_event>& events() const
    {
        return events_;
    }
    /** @return Names of the batches that hold a key's bill. */
    [[nodiscard]] std::vector<std::string>
    batches_with(const idempotency_key& key);
    [[nodiscard]] std::uint64_t platform_writes() const { return writes_; }
    [[nodiscard]] std::uint64_t platform_reads() const { return reads_; }
    /** @return A number from 0 to limit - 1. */
    std::uint64_t random(std::uint64_t limit);

private:
    using step = std::function<void()>;
    struct waiting_watch
    {
        std::size_t vm = 0;
        call_id call;
        watch_objects request;
        time_point until;
    };

    void at(duration after, step what);
    void give(std::size_t vm, core_event event);
    void act(std::size_t vm, const core_action& action);
    void deliver(std::size_t from, const send_peer& action);
    void call(std::size_t vm, const call_platform& action);
    void answer(std::size_t vm, call_id call, platform_result result);
    void apply(std::size_t vm, const call_platform& action);
    void wake_watches();
    void dispatch(std::size_t vm, const dispatch_attempt& action);
    void connect(std::size_t left, std::size_t right);
    void plan_wake(std::size_t vm);
    [[nodiscard]] bool linked(std::size_t left, std::size_t right) const;
    caller_record* caller_of(std::size_t vm, request_id id);

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t order_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, step> steps_;
    std::vector<bag_vm> vms_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_delivery_;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> link_epoch_;
    object_store store_;
    std::vector<waiting_watch> watches_;
    std::vector<caller_record> callers_;
    std::map<std::pair<std::size_t, request_id>, std::size_t> caller_index_;
    std::map<customer_key, run_record> runs_;
    std::map<std::pair<std::size_t, request_id>, caller_request> requests_;
    std::vector<timeline_event> events_;
    std::uint64_t next_request_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace rosemarydeck::simulation
