/** @file budget_shard_base.cpp Keeps this VM's grants in one ledger. */
#include "gateway/budget_shard_base.hpp"

#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>
#include <ctime>

namespace rosemarydeck
{

namespace
{

/** Added to the time between renewals for each VM of the ledger beyond the
 * first ten. */
constexpr auto renew_more = milliseconds(200);
/** Least time between renewals that requests ask for. */
constexpr auto renew_apart = milliseconds(50);
/** Time between renewals, and for how long after the start, while runs that
 *  have ended wait to be closed. */
constexpr auto evidence_pause = milliseconds(300);
constexpr auto evidence_span = milliseconds(5'000);
/** Tries of one renewal against other VMs' writes. */
constexpr int max_conflicts = 6;

std::int64_t to_ms(const timespec& time)
{
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 +
           time.tv_nsec / 1'000'000;
}

} // namespace

budget_shard::budget_shard(boost::asio::io_context& io,
                           budget_shard_options options, store_client& store,
                           wallet& local_wallet, event_log& log)
    : io_(io), options_(std::move(options)), store_(store),
      wallet_(local_wallet), log_(log), keeper_(options_.keeper, local_wallet),
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
    return {clock_.now(), to_ms(wall), to_ms(boot)};
}

void budget_shard::renew_soon()
{
    wanted_ = true;
    timer_.cancel();
}

void budget_shard::run()
{
    while (!closing_) {
        renew();
        pause();
    }
}

duration budget_shard::next_pause() const
{
    if (wanted_)
        return renew_apart;
    // After a restart each write adds to the evidence for the others.
    if (has_ended_runs(keeper_.current()) &&
        clock_.now() - started_ < evidence_span)
        return evidence_pause;
    const auto vms = keeper_.live_vms();
    return options_.renewal_interval + renew_more * (vms > 10 ? vms - 10 : 0);
}

void budget_shard::pause()
{
    timer_.expires_after(next_pause());
    const auto waited =
        await_io([&](auto handler) { timer_.async_wait(std::move(handler)); });
    if (waited.fault) // Cut short by renew_soon().
        fiber_sleep(io_,
                    std::max<duration>(duration{}, last_renewal_ + renew_apart -
                                                       clock_.now()));
}

void budget_shard::renew()
{
    wanted_ = false;
    last_renewal_ = clock_.now();
    if (keeper_.live_vms() > 1)
        keeper_.mark_stale();
    for (int tries = 0; tries < max_conflicts && !closing_; ++tries) {
        // The first read may be old; a conflict brings the newest.
        if (!keeper_.fresh() && !read(keeper_.joined()))
            return;
        const auto next = keeper_.prepare(options_.prepaid(), read_clocks());
        if (write(next)) {
            log_renewal(next);
            record_consumed();
            for (const auto& [customer, min_amount] : keeper_.shortages())
                wallet_.record_shortage(customer, min_amount,
                                        clock_.now() + options_.short_span);
            return;
        }
        if (!keeper_.fresh())
            return;
    }
}

bool budget_shard::refresh(const std::optional<platform::store_object>& object)
{
    try {
        keeper_.refreshed(object ? std::optional(object->spec.get<ledger>())
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

bool budget_shard::read(bool stale)
{
    const auto turn = store_.await_turn();
    const auto reply = store_.call(
        platform::get_call(platform::ledger_kind, options_.name, stale));
    if (!reply)
        return false;
    const auto object = platform::decode_object(reply->status, reply->body);
    return object && refresh(*object);
}

bool budget_shard::write(const ledger_write& write)
{
    const auto turn = store_.await_turn();
    const auto reply = store_.call(
        platform::write_call(platform::ledger_kind, options_.name,
                             nlohmann::json(write.next), write.condition));
    const auto result = reply
                            ? platform::decode_write(reply->status, reply->body)
                            : tl::unexpected(reply.error().cause);
    if (!result) {
        keeper_.unanswered();
        return false;
    }
    if (result->done) {
        keeper_.written(result->object->revision, clock_.now());
        log_closings(write);
        return true;
    }
    if (!refresh(result->object))
        keeper_.unanswered();
    return false;
}

void budget_shard::log_closings(const ledger_write& write)
{
    for (const auto& one : write.closings)
        log_.write("run_closed",
                   {{"ledger", options_.name},
                    {"run", one.run.value()},
                    {"silence_ms",
                     one.time_since_write
                         ? std::to_string(one.time_since_write->count() / 1'000)
                         : "unknown"},
                    {"reported", one.reported},
                    {"charged_beyond", one.charged}});
}

void budget_shard::log_renewal(const ledger_write& write)
{
    token_count granted = 0;
    token_count spent = 0;
    token_count closed = 0;
    token_count total = 0;
    for (const auto& [customer, prepaid] : options_.prepaid()) {
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
                                   {"short", keeper_.shortages().size()}});
}

void budget_shard::record_consumed()
{
    for (const auto& [customer, account] : keeper_.current().accounts)
        wallet_.record_consumed(customer,
                                consumed(keeper_.current(), customer));
}

void budget_shard::close()
{
    closing_ = true;
    timer_.cancel();
    for (int tries = 0; tries < max_conflicts; ++tries) {
        if (store_.down() || !keeper_.joined())
            return;
        if (!keeper_.fresh() && !read(false))
            return;
        if (write(keeper_.prepare_close(read_clocks()))) {
            log_.write("budgets_returned", {{"ledger", options_.name}});
            return;
        }
    }
}

} // namespace rosemarydeck
