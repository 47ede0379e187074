/** @file control_budget.cpp Shards of this VM, and credit for requests. */
#include "gateway/control_service_base.hpp"

#include "ledger/ledger_layout_func.hpp"
#include "web/fiber_scheduler_base.hpp"

#include <boost/fiber/all.hpp>

namespace rosemarydeck
{

namespace
{

/** Pause after a failed attempt to get the layout or the list of shards. */
constexpr auto layout_retry_delay = milliseconds(300);
/** Longest wait for a renewal that a credit request of another VM needs, and
 *  the interval at which the result is checked. */
constexpr auto credit_renewal_timeout = milliseconds(80);
constexpr auto credit_poll_interval = milliseconds(10);
/** Pause before tokens are requested again from home VMs that lacked them. They
 *  renew, and get credit back, within this time. */
constexpr auto credit_shortage_backoff = milliseconds(700);
/** Time from the start after which this VM joins shards as a home. By then
 *  all VMs of a new fleet are known. */
constexpr auto fleet_discovery_delay = milliseconds(5'000);
/** Time for returned credit to be sent before the shards are closed. */
constexpr auto credit_flush_delay = milliseconds(50);

} // namespace

void control_service::start_budgets()
{
    while (!closing_ && !(config_ && ensure_layout()))
        fiber_sleep(io_, layout_retry_delay);
    if (closing_)
        return;
    if (layout_->parts == 1)
        open_shard(0);
    else
        while (!closing_ && !resume_shards())
            fiber_sleep(io_, layout_retry_delay);
    if (layout_->parts > 1)
        credit_service_.start();
    budgets_started_ = true;
}

bool control_service::ensure_layout()
{
    store_.await_reachable();
    const auto proposed = layout_for(options_.settings.store_writes_per_s);
    const auto reply = store_.call(
        platform::write_call(platform::ledger_kind, platform::layout_name,
                             nlohmann::json(proposed), 0));
    if (!reply)
        return false;
    // On a conflict the answer holds the layout that another VM has written.
    const auto answer = platform::decode_write(reply->status, reply->body);
    if (!answer || !answer->object)
        return false;
    try {
        layout_ = answer->object->spec.get<ledger_layout>();
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("layout_unreadable", {{"why", fault.what()}});
        return false;
    }
    log_.write("ledger_layout", {{"parts", layout_->parts}});
    return true;
}

bool control_service::resume_shards()
{
    const auto objects = list_all(platform::ledger_kind, false);
    if (!objects)
        return false;
    for (const auto& object : objects->objects) {
        const auto number = parse_shard_name(*layout_, object.name);
        if (!number)
            continue;
        try {
            const auto shard = object.spec.get<ledger>();
            for (const auto& [run, member] : shard.members)
                if (member.vm == options_.settings.vm && !member.closed)
                    open_shard(*number);
        }
        catch (const nlohmann::json::exception& fault) {
            log_.write("ledger_unreadable",
                       {{"ledger", object.name}, {"why", fault.what()}});
        }
    }
    return true;
}

budget_shard& control_service::open_shard(std::uint32_t number)
{
    auto& known = shards_[number];
    if (known)
        return *known;
    budget_shard_options options;
    const auto plan = ledger_plan_for(*layout_);
    options.writer = writer_options();
    options.writer.policy = plan.policy;
    options.renewal_interval = plan.renewal_interval;
    options.shortage_backoff = plan.shortage_backoff;
    options.name = shard_name(number);
    options.prepaid_totals = [this, number] { return prepaid_totals(number); };
    known = std::make_unique<budget_shard>(io_, std::move(options), store_,
                                           wallet_, log_);
    known->start();
    return *known;
}

std::map<customer_id, token_count>
control_service::prepaid_totals(std::uint32_t number) const
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
    if (!budgets_started_ || closing_)
        return;
    if (layout_->parts == 1)
        return open_shard(shard_of(*layout_, customer)).renew_soon();
    boost::fibers::fiber(boost::fibers::launch::post, [=, this] {
        acquire_credit(customer, tokens);
    }).detach();
}

void control_service::acquire_credit(const customer_id& customer,
                                     token_count tokens)
{
    if (credit_service_.is_home(customer)) {
        // As home, use this VM's own grant first and ask other homes after it.
        const auto reply = grant_credit({0, customer, tokens, tokens});
        if (reply.tokens > 0)
            return credit_service_.add_credit(reply);
    }
    if (!credit_service_.request_credit(customer, tokens))
        wallet_.record_shortage(customer, tokens,
                                clock_.now() + credit_shortage_backoff);
}

credit_reply control_service::grant_credit(const credit_request& request)
{
    credit_reply reply{request.number, request.customer};
    const auto total = prepaid_budget(request.customer);
    if (!budgets_started_ || closing_ || !total)
        return reply;
    const auto deadline = clock_.now() + credit_renewal_timeout;
    const auto try_lend = [&] {
        reply.tokens = wallet_.lend(request.customer, request.min_tokens,
                                    request.wanted_tokens, clock_.now());
        reply.consumed = wallet_.consumed(request.customer);
        return reply.tokens > 0;
    };
    // A renewal can't grant more than is left of the budget.
    const auto renewal_may_help = [&] {
        return request.min_tokens > 0 && clock_.now() < deadline &&
               !store_.down() &&
               wallet_.may_obtain(request.customer, request.min_tokens,
                                  clock_.now()) &&
               *total - reply.consumed >= request.min_tokens;
    };
    if (try_lend()) {
        // The rest of a burst is granted ahead of the next request for it.
        if (request.min_tokens > 0 && reply.tokens < request.wanted_tokens &&
            !store_.down()) {
            wallet_.record_unmet(request.customer,
                                 request.wanted_tokens - reply.tokens);
            open_shard(shard_of(*layout_, request.customer)).renew_soon();
        }
        return reply;
    }
    wallet_.record_unmet(request.customer, request.wanted_tokens);
    if (renewal_may_help())
        open_shard(shard_of(*layout_, request.customer)).renew_soon();
    while (renewal_may_help()) {
        fiber_sleep(io_, credit_poll_interval);
        if (try_lend())
            return reply;
    }
    if (request.min_tokens > 0)
        log_.write(
            "credit_denied",
            {{"customer", request.customer.value()},
             {"asked", request.min_tokens},
             {"headroom", wallet_.headroom(request.customer, clock_.now())},
             {"consumed", reply.consumed},
             {"prepaid", *total},
             {"store_down", store_.down() ? 1 : 0}});
    return reply;
}

std::optional<token_count>
control_service::prepaid_budget(const customer_id& customer) const
{
    if (config_)
        for (const auto& one : config_->config().customers)
            if (one.id == customer)
                return one.prepaid;
    return std::nullopt;
}

void control_service::join_home_shards()
{
    if (!budgets_started_ || layout_->parts == 1 || !config_ ||
        clock_.now() - started_ < fleet_discovery_delay)
        return;
    for (const auto& customer : budgeted_customers())
        if (credit_service_.is_home(customer))
            open_shard(shard_of(*layout_, customer));
}

std::vector<customer_id> control_service::budgeted_customers() const
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

void control_service::renew_changed_budgets(const router_config& before)
{
    if (!budgets_started_)
        return;
    std::map<customer_id, std::optional<token_count>> known;
    for (const auto& customer : before.customers)
        known[customer.id] = customer.prepaid;
    for (const auto& customer : config_->config().customers) {
        const auto found = known.find(customer.id);
        const auto shard = shards_.find(shard_of(*layout_, customer.id));
        if (shard != shards_.end() &&
            (found == known.end() || found->second != customer.prepaid))
            shard->second->renew_soon();
    }
}

void control_service::close_budgets()
{
    closing_ = true;
    if (budgets_started_ && layout_->parts > 1) {
        credit_service_.close();
        leave_fleet();
        fiber_sleep(io_, credit_flush_delay);
    }
    for (const auto& [number, shard] : shards_)
        shard->close();
}

} // namespace rosemarydeck
