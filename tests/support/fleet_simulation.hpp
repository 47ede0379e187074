/** @file fleet_simulation.hpp Simulation of a fleet of decision cores. */
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

/** One request as its caller sees it. */
struct caller_record
{
    customer_id customer;
    idempotency_key key;
    std::size_t vm = 0; ///< Number in vms() of the VM that it was sent to.
    time_point sent;
    std::optional<time_point> finished;    ///< When the answer ended.
    std::optional<refuse_request> refused; ///< The error answer.
    std::optional<request_id> joined;      ///< Request whose answer it gets.
    bool relayed = false;                  ///< Relayed by or to another VM.
    bool dispatched = false; ///< Sent to a backend server at least once.
    /** Finished while no other VM was live in the data centre. */
    bool finished_alone = false;
};

/** Number of attempts that backend servers have run for one key. */
struct run_record
{
    int started = 0;
    int finished = 0;
};

/** Probabilities of faults of a platform call, per mille. */
struct platform_faults
{
    int lost_answer = 0;  ///< The call takes effect, its answer is lost.
    int lost_request = 0; ///< The call has no effect and no answer.
    int late_write = 0;   ///< No answer; takes effect after the time-out.
};

/** One run of a VM in the simulation. */
struct simulated_vm
{
    vm_id name;
    dc_id data_centre;
    instance_id instance;
    std::unique_ptr<decision_core> core;
    bool alive = false;                  ///< False once it was killed.
    bool paused = false;                 ///< Its process is stopped.
    bool platform_cut = false;           ///< It can't reach the platform.
    bool drained = false;                ///< It has finished its shutdown.
    time_point next_tick_at;             ///< Time of the next clock_tick.
    std::vector<core_event> held_events; ///< Events while it is paused.
};

/**
 * Runs decision cores with a simulated network, platform and backend servers.
 * A simulated clock moves only in run_for(), and every random choice follows
 * from the seed, so a run can be repeated exactly.
 */
class fleet_simulation
{
public:
    explicit fleet_simulation(std::uint64_t seed);

    core_options options; ///< Settings of VMs that are added later.
    platform_faults faults;
    bool platform_down = false; ///< New platform calls time out.
    /** Mean time that an attempt runs; the time varies by half of it. */
    duration service_time = std::chrono::milliseconds(50);
    int attempt_crashes_per_mille = 0; ///< Probability per attempt.

    /** Starts or restarts a VM. @return Number of this run in vms(). */
    std::size_t add_vm(const std::string& name, const std::string& dc);
    /** Ends a VM at once; its peers lose their connections. */
    void kill(std::size_t vm);
    /** Stops a VM's process; its events are held until resume(). */
    void pause(std::size_t vm);
    /** Delivers the held events and lets the VM run on. */
    void resume(std::size_t vm);
    /** Asks a VM to shut down. */
    void drain(std::size_t vm);
    /** Cuts or restores the connection between two VMs. */
    void set_link(std::size_t left, std::size_t right, bool up);
    /** Removes a VM from the platform's list. */
    void unlist(std::size_t vm);

    /** Creates or updates an object in the platform. */
    void put_object(const std::string& name, const nlohmann::json& value);
    /** Adds a customer with a plan and an allowance without limits. */
    void add_customer(const std::string& name, token_count prepaid);
    /** Raises a customer's prepaid tokens. */
    void top_up(const std::string& name, token_count by);
    void add_server(const std::string& name, const std::string& dc,
                    std::int64_t slots, const std::string& target,
                    server_kind kind = server_kind::engine);

    /** Sends a request to a VM. @return Its index in callers(). */
    std::size_t submit(std::size_t vm, const std::string& customer,
                       const std::string& key, token_count output = 100,
                       bool repeatable = true, bool relayed = false,
                       std::uint64_t fingerprint = 0);
    /** Advances the clock and runs all tasks that become due. */
    void run_for(duration span);

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::vector<simulated_vm>& vms() { return vms_; }
    [[nodiscard]] const std::vector<caller_record>& callers() const
    {
        return callers_;
    }
    [[nodiscard]] const std::map<customer_key, run_record>& runs() const
    {
        return runs_;
    }
    /** @return A customer's account in the platform; empty if none. */
    [[nodiscard]] account account_of(const std::string& customer);
    /** @return All stored bills, with duplicates and reversals. */
    [[nodiscard]] std::vector<bill> bills();
    [[nodiscard]] const std::vector<timeline_event>& events() const
    {
        return events_;
    }
    /** @return Names of the stored batches with a bill of a key. */
    [[nodiscard]] std::vector<std::string>
    batches_with(const idempotency_key& key);
    [[nodiscard]] std::uint64_t platform_writes() const
    {
        return platform_writes_;
    }
    [[nodiscard]] std::uint64_t platform_reads() const
    {
        return platform_reads_;
    }
    /** @return A random number from 0 to limit - 1; 0 if limit is 0. */
    std::uint64_t random(std::uint64_t limit);

private:
    using task = std::function<void()>;
    /** A watch that waits for changes. */
    struct waiting_watch
    {
        std::size_t vm = 0;
        call_id call;
        watch_objects request;
        time_point until;
    };

    /** Schedules a task. @param after Time from now. */
    void run_after(duration after, task next_task);
    /** Lets a VM handle an event and performs its actions. */
    void deliver_event(std::size_t vm, core_event event);
    void perform_action(std::size_t vm, const core_action& action);
    /** Delivers a message after a random delay, in order on each link. */
    void send_peer_message(std::size_t from, const send_peer& action);
    /** Starts a platform call; it times out if the platform is away. */
    void start_platform_call(std::size_t vm, const call_platform& action);
    void answer_platform_call(std::size_t vm, call_id call,
                              platform_result result);
    /** Executes a platform call, with the faults that are set. */
    void execute_platform_call(std::size_t vm, const call_platform& action);
    /** Answers the watches that have changes or have timed out. */
    void answer_watches();
    /** Runs an attempt on a backend server; it may crash. */
    void run_attempt(std::size_t vm, const dispatch_attempt& action);
    /** Connects two VMs. */
    void connect(std::size_t left, std::size_t right);
    /** Schedules the VM's next clock_tick. */
    void schedule_wakeup(std::size_t vm);
    [[nodiscard]] bool is_linked(std::size_t left, std::size_t right) const;
    caller_record* find_caller(std::size_t vm, request_id id);

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t last_task_number_ = 0;
    /** Tasks by time and, at the same time, in the order of scheduling. */
    std::map<std::pair<time_point, std::uint64_t>, task> tasks_;
    std::vector<simulated_vm> vms_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_delivery_;
    /** Changes with each connection; older messages are dropped. */
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> link_epoch_;
    object_store store_;
    std::vector<waiting_watch> watches_;
    std::vector<caller_record> callers_;
    std::map<std::pair<std::size_t, request_id>, std::size_t> caller_index_;
    std::map<customer_key, run_record> runs_;
    std::map<std::pair<std::size_t, request_id>, caller_request> requests_;
    std::vector<timeline_event> events_;
    std::uint64_t last_request_ = 0;
    std::uint64_t vm_start_count_ = 0;
    std::uint64_t platform_writes_ = 0;
    std::uint64_t platform_reads_ = 0;
};

} // namespace rosemarydeck::simulation
