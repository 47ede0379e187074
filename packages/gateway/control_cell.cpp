/** @file control_cell.cpp Asks other cells for free parts of budgets. */
#include "gateway/control_service_base.hpp"

#include "ledger/ledger_layout_func.hpp"

namespace rosemarydeck
{

namespace
{

/** Least time between two requests to other cells, each some two calls. */
constexpr auto gifts_apart = milliseconds(200);
/** Least that is asked for: a few usual requests. */
constexpr token_count least_gift = 30'000;

} // namespace

void control_service::ask_other_cells()
{
    if (layout_->cells < 2 || keeper_.short_customers().empty() ||
        clock_.now() - last_gift_ < gifts_apart)
        return;
    last_gift_ = clock_.now();
    const auto customer = keeper_.short_customers().front();
    next_donor_ = (next_donor_ + 1) % layout_->cells;
    if (next_donor_ == cell_)
        next_donor_ = (next_donor_ + 1) % layout_->cells;
    if (ask_cell(next_donor_, customer))
        renew_soon();
}

bool control_service::ask_cell(std::uint32_t donor, const customer_id& customer)
{
    const auto name = name_of_cell(donor);
    const auto turn = store_.await_turn();
    const auto reply = store_.call(
        platform::get_call(platform::ledger_kind, name.value(), false));
    if (!reply)
        return false;
    const auto object = platform::decode_object(reply->status, reply->body);
    if (!object || !*object)
        return false;
    try {
        const auto theirs = (*object)->spec.get<ledger>();
        const auto& rules = config_->config().customers;
        const auto rule =
            std::find_if(rules.begin(), rules.end(),
                         [&](const auto& one) { return one.id == customer; });
        if (rule == rules.end() || !rule->prepaid)
            return false;
        const auto own = name_of_cell(cell_);
        const auto next =
            give(theirs, customer, own,
                 cell_part(*layout_, donor, *rule->prepaid), least_gift);
        if (!next)
            return false;
        const auto given = next->accounts.at(customer).given.at(own);
        const auto written = store_.call(
            platform::write_call(platform::ledger_kind, name.value(),
                                 nlohmann::json(*next), (*object)->revision));
        if (!written)
            return false;
        const auto result =
            platform::decode_write(written->status, written->body);
        if (!result || !result->done)
            return false;
        log_.write("cell_gift", {{"customer", customer.value()},
                                 {"from", name.value()},
                                 {"given_in_all", given}});
        keeper_.receive_later(customer, name, given);
        return true;
    }
    catch (const nlohmann::json::exception& fault) {
        log_.write("ledger_unreadable",
                   {{"cell", name.value()}, {"why", fault.what()}});
        return false;
    }
}

} // namespace rosemarydeck
