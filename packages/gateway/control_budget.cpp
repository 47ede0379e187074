/** @file control_budget.cpp Divides the customers' budgets into ledgers. */
#include "gateway/control_service_base.hpp"

#include "ledger/ledger_layout_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Time between tries to learn the layout from a store that is away. */
constexpr auto layout_pause = milliseconds(300);
/** Time between renewals where a few VMs share one ledger, and spending that is
 *  open at once: what a run that ends is charged beyond its report grows with
 *  both. */
constexpr auto shared_renewal = milliseconds(1'000);
constexpr double shared_open_seconds = 1;
/** Some VM in each of so many data centres draws on a customer's ledger. */
constexpr std::size_t homes_expected = 3;
/** Time between its renewals; a grant opens over 4 s and more. */
constexpr auto home_renewal = milliseconds(3'000);
constexpr auto home_short_span = milliseconds(2'000);
/** Time for a renewal that another VM's ask needs, and between looks at it. */
constexpr auto give_limit = milliseconds(80);
constexpr auto give_check = milliseconds(10);
/** Homes get more, and credit comes back to them, within such a time. */
constexpr auto short_span = milliseconds(700);
/** All VMs of a new fleet are known by then. */
constexpr auto fleet_span = milliseconds(5'000);
/** Time for what is given back to be sent. */
constexpr auto return_span = milliseconds(50);

} // namespace

void control_service::keep_budgets()
{
    while (!closing_ && !(config_ && know_layout()))
        fiber_sleep(io_, layout_pause);
    if (closing_)
        return;
    if (layout_->parts == 1)
        part(0);
    else
        while (!closing_ && !resume_parts())
            fiber_sleep(io_, layout_pause);
    if (layout_->parts > 1)
        credits_.start();
    budgets_known_ = true;
}

bool control_service::know_layout()
{
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
    log_.write("ledger_layout", {{"parts", layout_->parts}});
    return true;
}

bool control_service::resume_parts()
{
    const auto objects = list_all(platform::ledger_kind, false);
    if (!objects)
        return false;
    for (const auto& object : objects->objects) {
        const auto number = parse_shard_name(*layout_, object.name);
        if (!number)
            continue;
        try {
            const auto found = object.spec.get<ledger>();
            for (const auto& [run, member] : found.members)
                if (member.vm == options_.settings.vm && !member.closed)
                    part(*number);
        }
        catch (const nlohmann::json::exception& fault) {
            log_.write("ledger_unreadable",
                       {{"ledger", object.name}, {"why", fault.what()}});
        }
    }
    return true;
}

budget_shard& control_service::part(std::uint32_t number)
{
    auto& known = parts_[number];
    if (known)
        return *known;
    budget_shard_options options;
    options.keeper = keeper_options();
    options.name = shard_name(number);
    options.prepaid = [this, number] { return prepaid(number); };
    if (layout_->parts == 1) {
        options.renewal_interval = shared_renewal;
        options.keeper.policy.burst_seconds = shared_open_seconds;
    }
    else {
        options.renewal_interval = home_renewal;
        options.short_span = home_short_span;
        options.keeper.policy.min_vms = homes_expected;
    }
    known = std::make_unique<budget_shard>(io_, std::move(options), store_,
                                           wallet_, log_);
    known->start();
    return *known;
}

std::map<customer_id, token_count>
control_service::prepaid(std::uint32_t number) const
{
    std::map<customer_id, token_count> result;
    for (const auto& customer : config_->config().customers)
        if (customer.prepaid && shard_of(*layout_, customer.id) == number)
            result[customer.id] = *customer.prepaid;
    return result;
}

void control_service::request_budget(const customer_id& customer,
                                     token_count tokens)
{
    if (!budgets_known_ || closing_)
        return;
    if (layout_->parts == 1)
        return part(shard_of(*layout_, customer)).renew_soon();
    boost::fibers::fiber(boost::fibers::launch::post, [=, this] {
        find_credit(customer, tokens);
    }).detach();
}

void control_service::find_credit(const customer_id& customer,
                                  token_count tokens)
{
    if (credits_.is_home(customer)) {
        // Its own share may do; the others' are asked for if it does not.
        const auto gift = give({0, customer, tokens, tokens});
        if (gift.tokens > 0)
            return credits_.keep(gift);
    }
    if (!credits_.ask(customer, tokens))
        wallet_.record_shortage(customer, tokens, clock_.now() + short_span);
}

credit_reply control_service::give(const credit_request& ask)
{
    credit_reply gift{ask.number, ask.customer};
    const auto total = budget_of(ask.customer);
    if (!budgets_known_ || closing_ || !total)
        return gift;
    const auto until = clock_.now() + give_limit;
    const auto try_now = [&] {
        gift.tokens = wallet_.lend(ask.customer, ask.min_amount,
                                   ask.wanted_tokens, clock_.now());
        gift.consumed = wallet_.consumed(ask.customer);
        return gift.tokens > 0;
    };
    // A renewal can't bring more than there is.
    const auto may_help = [&] {
        return ask.min_amount > 0 && clock_.now() < until && !store_.down() &&
               wallet_.may_obtain(ask.customer, ask.min_amount, clock_.now()) &&
               *total - gift.consumed >= ask.min_amount;
    };
    if (try_now())
        return gift;
    if (may_help())
        part(shard_of(*layout_, ask.customer)).renew_soon();
    while (may_help()) {
        fiber_sleep(io_, give_check);
        if (try_now())
            return gift;
    }
    if (ask.min_amount > 0)
        log_.write("credit_denied",
                   {{"customer", ask.customer.value()},
                    {"asked", ask.min_amount},
                    {"headroom", wallet_.headroom(ask.customer, clock_.now())},
                    {"consumed", gift.consumed},
                    {"prepaid", *total},
                    {"store_down", store_.down() ? 1 : 0}});
    return gift;
}

std::optional<token_count>
control_service::budget_of(const customer_id& customer) const
{
    if (config_)
        for (const auto& one : config_->config().customers)
            if (one.id == customer)
                return one.prepaid;
    return std::nullopt;
}

void control_service::join_own_parts()
{
    if (!budgets_known_ || layout_->parts == 1 || !config_ ||
        clock_.now() - started_ < fleet_span)
        return;
    for (const auto& customer : budgeted())
        if (credits_.is_home(customer))
            part(shard_of(*layout_, customer));
}

std::vector<customer_id> control_service::budgeted() const
{
    std::vector<customer_id> result;
    for (const auto& customer : config_->config().customers)
        if (customer.prepaid)
            result.push_back(customer.id);
    return result;
}

fleet_vm control_service::self() const
{
    return {options_.settings.vm, options_.settings.data_centre,
            options_.settings.control.address, options_.settings.control.port,
            options_.settings.cores};
}

void control_service::renew_changed(const router_config& before)
{
    if (!budgets_known_)
        return;
    std::map<customer_id, std::optional<token_count>> known;
    for (const auto& customer : before.customers)
        known[customer.id] = customer.prepaid;
    for (const auto& customer : config_->config().customers) {
        const auto found = known.find(customer.id);
        const auto part = parts_.find(shard_of(*layout_, customer.id));
        if (part != parts_.end() &&
            (found == known.end() || found->second != customer.prepaid))
            part->second->renew_soon();
    }
}

void control_service::close_budgets()
{
    closing_ = true;
    if (budgets_known_ && layout_->parts > 1) {
        credits_.close();
        leave_fleet();
        fiber_sleep(io_, return_span);
    }
    for (const auto& [number, part] : parts_)
        part->close();
}

} // namespace rosemarydeck
