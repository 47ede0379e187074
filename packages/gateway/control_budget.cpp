/** @file control_budget.cpp Keeps this VM's grants in step with the ledger. */
#include "gateway/control_service_base.hpp"

#include "ledger/ledger_layout_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <ctime>

namespace rosemarydeck
{

namespace
{

/** Time between renewals while nothing is wanted sooner. */
constexpr auto renew_every = milliseconds(2'000);
/** Added to it for each VM of the cell beyond the first ten. */
constexpr auto renew_more = milliseconds(200);
/** Least time between renewals that requests ask for. */
constexpr auto renew_apart = milliseconds(50);
/** Others give back headroom within their own renewals. */
constexpr auto short_span = milliseconds(700);
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

clock_reading control_service::read_clocks() const
{
    timespec wall{};
    timespec boot{};
    ::clock_gettime(CLOCK_REALTIME, &wall);
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    return {clock_.now(), to_ms(wall), to_ms(boot)};
}

void control_service::renew_soon()
{
    renew_wanted_ = true;
    renew_timer_.cancel();
}

void control_service::keep_budgets()
{
    while (!closing_) {
        if (config_ && !closing_ && know_layout())
            renew_budgets();
        const auto vms = keeper_.live_vms();
        milliseconds pause =
            renew_every + renew_more * (vms > 10 ? vms - 10 : 0);
        if (renew_wanted_)
            pause = renew_apart;
        renew_wanted_ = false;
        // After a restart each write adds to the evidence for the others.
        if (has_ended_runs(keeper_.current()) &&
            clock_.now() - started_ < evidence_span)
            pause = evidence_pause;
        renew_timer_.expires_after(pause);
        const auto waited = await_io(
            [&](auto handler) { renew_timer_.async_wait(std::move(handler)); });
        if (waited.fault) // Cut short by renew_soon().
            fiber_sleep(io_, std::max<duration>(duration{}, last_renewal_ +
                                                                renew_apart -
                                                                clock_.now()));
    }
}

std::map<customer_id, token_count> control_service::prepaid() const
{
    std::map<customer_id, token_count> result;
    for (const auto& customer : config_->config().customers)
        if (customer.prepaid)
            result[customer.id] = cell_part(*layout_, cell_, *customer.prepaid);
    return result;
}

bool control_service::know_layout()
{
    if (layout_)
        return true;
    const auto turn = store_.await_turn();
    const auto wanted = layout_for(options_.settings.store_writes_per_s);
    const auto reply = store_.call(
        platform::write_call(platform::ledger_kind, platform::layout_name,
                             nlohmann::json(wanted), 0));
    if (!reply)
        return false;
    // A conflict brings the layout that an earlier VM has written.
    const auto result = platform::decode_write(reply->status, reply->body);
    if (!result || !result->object)
        return false;
    try {
        layout_ = result->object->spec.get<ledger_layout>();
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("layout_unreadable", {{"why", fault.what()}});
        return false;
    }
    cell_ = cell_of(*layout_, options_.settings.vm);
    ledger_name_ = name_of_cell(cell_).value();
    keeper_.hold_unseen(layout_->cells == 1);
    log_.write("ledger_layout", {{"cells", layout_->cells}, {"cell", cell_}});
    return true;
}

void control_service::renew_budgets()
{
    const auto live_before = keeper_.live_vms();
    last_renewal_ = clock_.now();
    keeper_.expect_changes();
    keeper_.set_crashes(crashes_.own(clock_.now()));
    for (int tries = 0; tries < max_conflicts && !closing_; ++tries) {
        // The first read may be old; a conflict brings the newest.
        if (!keeper_.fresh() && !read_ledger(keeper_.joined()))
            return;
        if (write_ledger(keeper_.prepare(prepaid(), read_clocks()))) {
            note_rests();
            share_crashes();
            for (const auto& customer : keeper_.short_customers())
                purse_.note_short(customer, clock_.now() + short_span);
            if (live_before != keeper_.live_vms())
                publish();
            ask_other_cells();
            return;
        }
        if (!keeper_.fresh())
            return;
    }
}

bool control_service::read_ledger(bool stale)
{
    const auto turn = store_.await_turn();
    const auto reply = store_.call(
        platform::get_call(platform::ledger_kind, ledger_name_, stale));
    if (!reply)
        return false;
    const auto object = platform::decode_object(reply->status, reply->body);
    if (!object)
        return false;
    if (!*object) {
        keeper_.refreshed(std::nullopt, 0, clock_.now());
        return true;
    }
    try {
        keeper_.refreshed((*object)->spec.get<ledger>(), (*object)->revision,
                          clock_.now());
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("ledger_unreadable", {{"why", fault.what()}});
        return false;
    }
    return true;
}

bool control_service::write_ledger(const ledger_write& write)
{
    const auto turn = store_.await_turn();
    const auto reply = store_.call(
        platform::write_call(platform::ledger_kind, ledger_name_,
                             nlohmann::json(write.next), write.condition));
    if (!reply) {
        keeper_.unanswered();
        return false;
    }
    const auto result = platform::decode_write(reply->status, reply->body);
    if (!result) {
        keeper_.unanswered();
        return false;
    }
    if (result->done) {
        keeper_.written(result->object->revision, clock_.now());
        log_budgets(write);
        return true;
    }
    try {
        keeper_.refreshed(
            result->object ? std::optional(result->object->spec.get<ledger>())
                           : std::nullopt,
            result->object ? result->object->revision : 0, clock_.now());
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("ledger_unreadable", {{"why", fault.what()}});
        keeper_.unanswered();
    }
    return false;
}

void control_service::log_budgets(const ledger_write& write)
{
    for (const auto& one : write.closings)
        log_.write("run_closed",
                   {{"run", one.run.value()},
                    {"silence_ms",
                     one.silence ? std::to_string(one.silence->count() / 1'000)
                                 : "unknown"},
                    {"reported", one.reported},
                    {"charged_beyond", one.charged}});
    token_count granted = 0;
    token_count spent = 0;
    token_count closed = 0;
    token_count total = 0;
    for (const auto& [customer, prepaid_total] : prepaid()) {
        total += prepaid_total;
        const auto account = write.next.accounts.find(customer);
        if (account == write.next.accounts.end())
            continue;
        closed += account->second.closed;
        for (const auto& [run, share] : account->second.shares) {
            granted += share.granted;
            spent += share.spent;
        }
    }
    log_.write("budgets_renewed",
               {{"cell", cell_},
                {"turn", write.next.turn},
                {"runs", write.next.members.size()},
                {"prepaid", total},
                {"closed", closed},
                {"granted", granted},
                {"spent", spent},
                {"short", keeper_.short_customers().size()}});
}

void control_service::note_rests()
{
    // With several cells the others' rest is not known, nor that it is spent.
    if (layout_->cells > 1)
        return;
    for (const auto& [customer, total] : prepaid())
        purse_.note_rest(customer, unspent(keeper_.current(), customer, total));
}

void control_service::close_budgets()
{
    closing_ = true;
    renew_timer_.cancel();
    for (int tries = 0; tries < max_conflicts; ++tries) {
        if (store_.down() || !keeper_.joined())
            return;
        if (!keeper_.fresh() && !read_ledger(false))
            return;
        if (write_ledger(keeper_.prepare_close(read_clocks()))) {
            log_.write("budgets_returned", {});
            return;
        }
    }
}

} // namespace rosemarydeck
