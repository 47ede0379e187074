/** @file budget_shard_base.cpp Renewal of this VM's grants in one shard. */
#include "gateway/budget_shard_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>
#include <ctime>

namespace rosemarydeck
{

namespace
{

/** Added to the renewal interval for each VM of the shard beyond the first
 *  ten. */
constexpr auto extra_interval_per_vm = milliseconds(200);
/** Shortest time between two renewals that requests cause. */
constexpr auto min_renewal_interval = milliseconds(50);
/** Renewal interval while the shard holds ended runs that are not yet closed,
 *  and the time from this run's start for which it applies. Each write in that
 *  time helps to bound when such a run ended. */
constexpr auto evidence_renewal_interval = milliseconds(300);
constexpr auto evidence_window = milliseconds(5'000);
/** Write attempts of one renewal; each may conflict with another VM's write.
 */
constexpr int max_write_attempts = 6;
/** Interval at which the state of each customer's budget is logged. */
constexpr auto customer_log_interval = milliseconds(5'000);

std::int64_t to_milliseconds(const timespec& time)
{
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 +
           time.tv_nsec / 1'000'000;
}

} // namespace

budget_shard::budget_shard(boost::asio::io_context& io,
                           budget_shard_options options, store_client& store,
                           wallet& local_wallet, event_log& log)
    : io_(io), options_(std::move(options)), store_(store),
      wallet_(local_wallet), log_(log), writer_(options_.writer, local_wallet),
      timer_(io)
{
}

void budget_shard::start()
{
    boost::fibers::fiber(boost::fibers::launch::post, [this] {
        run();
    }).detach();
}

clock_reading budget_shard::read_clocks() const
{
    timespec wall{};
    timespec boot{};
    ::clock_gettime(CLOCK_REALTIME, &wall);
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    return {clock_.now(), to_milliseconds(wall), to_milliseconds(boot)};
}

void budget_shard::renew_soon()
{
    renewal_requested_ = true;
    timer_.cancel();
}

void budget_shard::run()
{
    while (!closing_) {
        renew();
        await_next_renewal();
    }
}

duration budget_shard::next_renewal_delay() const
{
    if (renewal_requested_)
        return min_renewal_interval;
    if (has_ended_runs(writer_.current()) &&
        clock_.now() - started_ < evidence_window)
        return evidence_renewal_interval;
    const auto vms = writer_.live_vms();
    return options_.renewal_interval +
           extra_interval_per_vm * (vms > 10 ? vms - 10 : 0);
}

void budget_shard::await_next_renewal()
{
    timer_.expires_after(next_renewal_delay());
    const auto wait =
        await_io([&](auto handler) { timer_.async_wait(std::move(handler)); });
    if (wait.fault) // The timer was cancelled by renew_soon().
        fiber_sleep(io_, std::max<duration>(
                             duration{}, last_renewal_ + min_renewal_interval -
                                             clock_.now()));
}

void budget_shard::renew()
{
    renewal_requested_ = false;
    last_renewal_ = clock_.now();
    if (writer_.live_vms() > 1)
        writer_.mark_stale();
    for (int attempt = 0; attempt < max_write_attempts && !closing_;
         ++attempt) {
        // Once joined, a stale read suffices: a conflict returns the current
        // state.
        if (!writer_.fresh() && !read(writer_.joined()))
            return;
        const auto next =
            writer_.prepare(options_.prepaid_totals(), read_clocks());
        if (write(next)) {
            log_renewal(next);
            record_consumed();
            for (const auto& [customer, min_tokens] : writer_.shortages())
                wallet_.record_shortage(customer, min_tokens,
                                        clock_.now() +
                                            options_.shortage_backoff);
            return;
        }
        if (!writer_.fresh())
            return;
    }
}

bool budget_shard::apply_state(
    const std::optional<platform::store_object>& object)
{
    try {
        writer_.refreshed(object ? std::optional(object->spec.get<ledger>())
                                 : std::nullopt,
                          object ? object->revision : 0, clock_.now());
        return true;
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("ledger_unreadable",
                   {{"ledger", options_.name}, {"why", fault.what()}});
        return false;
    }
}

bool budget_shard::read(bool allow_stale)
{
    store_.await_reachable();
    const auto reply = store_.call(
        platform::get_call(platform::ledger_kind, options_.name, allow_stale));
    if (!reply)
        return false;
    const auto object = platform::decode_object(reply->status, reply->body);
    return object && apply_state(*object);
}

bool budget_shard::write(const ledger_write& write)
{
    store_.await_reachable();
    const auto reply = store_.call(
        platform::write_call(platform::ledger_kind, options_.name,
                             nlohmann::json(write.next), write.condition));
    const auto result = reply
                            ? platform::decode_write(reply->status, reply->body)
                            : tl::unexpected(reply.error().cause);
    if (!result) {
        writer_.unanswered();
        return false;
    }
    if (result->object)
        store_.record_revision(result->object->revision);
    if (result->done) {
        writer_.written(result->object->revision, clock_.now());
        log_closings(write);
        return true;
    }
    if (!apply_state(result->object))
        writer_.unanswered();
    return false;
}

void budget_shard::log_closings(const ledger_write& write)
{
    for (const auto& closing : write.closings) {
        log_.write(
            "run_closed",
            {{"ledger", options_.name},
             {"run", closing.run.value()},
             {"silence_ms",
              closing.time_since_write
                  ? std::to_string(closing.time_since_write->count() / 1'000)
                  : "unknown"},
             {"clock", name_of(closing.clock)},
             {"reported", closing.reported},
             {"charged_beyond", closing.charged}});
        for (const auto& [customer, share, charge] : closing.charges)
            if (share.granted > 0)
                log_.write("run_charged", {{"run", closing.run.value()},
                                           {"customer", customer.value()},
                                           {"granted", share.granted},
                                           {"spent", share.spent},
                                           {"reserved", share.reserved},
                                           {"burst", share.burst},
                                           {"slope", share.slope},
                                           {"charge", charge}});
    }
}

void budget_shard::log_open_runs(const ledger& value)
{
    std::set<instance_id> open;
    for (const auto& one : open_ended_runs(value)) {
        open.insert(one.run);
        if (logged_open_.count(one.run) == 0)
            log_.write("run_open", {{"ledger", options_.name},
                                    {"run", one.run.value()},
                                    {"held", one.held}});
    }
    logged_open_ = std::move(open);
}

void budget_shard::log_customers(const ledger& value)
{
    if (clock_.now() < next_customer_log_)
        return;
    next_customer_log_ = clock_.now() + customer_log_interval;
    std::set<instance_id> ended;
    for (const auto& one : open_ended_runs(value))
        ended.insert(one.run);
    for (const auto& [customer, prepaid] : options_.prepaid_totals()) {
        const auto found = value.accounts.find(customer);
        if (found == value.accounts.end())
            continue;
        ledger_share live;
        ledger_share open;
        for (const auto& [run, share] : found->second.shares) {
            auto& sums = ended.count(run) > 0 ? open : live;
            sums.granted += share.granted;
            sums.spent += share.spent;
            sums.reserved += share.reserved;
        }
        log_.write("budget_state", {{"customer", customer.value()},
                                    {"prepaid", prepaid},
                                    {"closed", found->second.closed},
                                    {"granted", live.granted},
                                    {"spent", live.spent},
                                    {"reserved", live.reserved},
                                    {"ended_granted", open.granted},
                                    {"ended_spent", open.spent}});
    }
}

void budget_shard::log_renewal(const ledger_write& write)
{
    token_count granted = 0;
    token_count spent = 0;
    token_count closed = 0;
    token_count total = 0;
    for (const auto& [customer, prepaid] : options_.prepaid_totals()) {
        total += prepaid;
        const auto account = write.next.accounts.find(customer);
        if (account == write.next.accounts.end())
            continue;
        closed += account->second.closed;
        for (const auto& [run, share] : account->second.shares) {
            granted += share.granted;
            spent += share.spent;
        }
    }
    log_.write("budgets_renewed", {{"ledger", options_.name},
                                   {"turn", write.next.turn},
                                   {"runs", write.next.members.size()},
                                   {"prepaid", total},
                                   {"closed", closed},
                                   {"granted", granted},
                                   {"spent", spent},
                                   {"short", writer_.shortages().size()}});
    log_open_runs(write.next);
    log_customers(write.next);
}

void budget_shard::record_consumed()
{
    for (const auto& [customer, account] : writer_.current().accounts)
        wallet_.record_consumed(customer,
                                consumed(writer_.current(), customer));
}

void budget_shard::close()
{
    closing_ = true;
    timer_.cancel();
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        if (store_.down() || !writer_.joined())
            return;
        if (!writer_.fresh() && !read(false))
            return;
        if (write(writer_.prepare_close(read_clocks()))) {
            log_.write("budgets_returned", {{"ledger", options_.name}});
            return;
        }
    }
}

} // namespace rosemarydeck
