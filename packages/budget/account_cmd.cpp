/** @file account_cmd.cpp Commands on an account value, and its queries. */
#include "budget/account_cmd.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t all_percent = 100;

grant_entry& grant_of(account& value, const instance_id& holder,
                      const dc_id& data_centre)
{
    for (auto& grant : value.grants)
        if (grant.holder == holder)
            return grant;
    value.grants.push_back({holder, data_centre, 0, 0, 0, 0, 0});
    return value.grants.back();
}

void drop_empty(account& value, const instance_id& holder)
{
    std::erase_if(value.grants, [&](const auto& grant) {
        return grant.holder == holder && grant.amount == 0 &&
               grant.sequence == 0;
    });
}

tl::unexpected<error> fail(error_code code, const std::string& step,
                           const std::string& text)
{
    return tl::unexpected(error{code, step, "", text});
}

} // namespace

token_count unassigned(const account& value)
{
    token_count rest = value.prepaid - value.settled - value.unproven;
    for (const auto& grant : value.grants)
        rest -= grant.amount;
    return std::max<token_count>(rest, 0);
}

const grant_entry* find_grant(const account& value, const instance_id& holder)
{
    for (const auto& grant : value.grants)
        if (grant.holder == holder)
            return &grant;
    return nullptr;
}

expected<renewed> renew_grant(const account& before, const grant_renewal& wish)
{
    renewed result{before, 0};
    auto& after = result.after;
    if (wish.plan_version > after.plan_version) {
        after.prepaid = wish.prepaid;
        after.plan_version = wish.plan_version;
    }
    auto& grant = grant_of(after, wish.holder, wish.data_centre);
    const bool reverses_too_much = wish.used < -after.settled;
    if (reverses_too_much || wish.used > grant.amount)
        return fail(error_code::invalid_input, "renew grant",
                    "more was used than was granted");
    if (wish.extra < 0 && grant.amount - wish.used + wish.extra < 0)
        return fail(error_code::invalid_input, "renew grant",
                    "more is given back than is left");
    grant.amount -= wish.used;
    grant.used_total += wish.used;
    after.settled += wish.used;
    result.extra = std::min(wish.extra, unassigned(after));
    grant.amount += result.extra;
    grant.solo = wish.alone ? grant.amount
                            : grant.amount * wish.solo_percent / all_percent;
    grant.sequence = wish.sequence;
    grant.last_extra = result.extra;
    return result;
}

expected<account> adopt_grant(const account& before, const adoption& found)
{
    const auto* lost = find_grant(before, found.lost);
    if (lost == nullptr)
        return fail(error_code::not_found, "adopt grant",
                    "the grant is there no longer");
    const auto unsettled =
        std::max<token_count>(found.used_total - lost->used_total, 0);
    const auto used = std::min(unsettled, lost->amount);
    const auto open = std::min(found.open, lost->amount - used);
    const auto rest = lost->amount - used - open;
    const auto doubtful = found.exact ? std::min(rest, lost->solo) : rest;
    account after = before;
    std::erase_if(after.grants, [&](const auto& grant) {
        return grant.holder == found.lost;
    });
    after.settled += used;
    after.unproven += doubtful;
    auto& heir = grant_of(after, found.heir, found.data_centre);
    heir.amount += open;
    drop_empty(after, found.heir);
    after.adopted.push_back({found.lost, found.heir});
    if (after.adopted.size() > max_adopted_grants)
        after.adopted.erase(after.adopted.begin());
    return after;
}

expected<account> parse_account(const std::string& text)
{
    try {
        return nlohmann::json::parse(text).get<account>();
    }
    catch (const nlohmann::json::exception& fault) {
        return fail(error_code::invalid_input, "read account", fault.what());
    }
}

} // namespace rosemarydeck
