/** @file account_cmd.cpp Commands and queries on an account value. */
#include "budget/account_cmd.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t all_percent = 100;

grant_entry& find_or_add_grant(account& value, const instance_id& holder,
                               const dc_id& data_centre)
{
    for (auto& grant : value.grants)
        if (grant.holder == holder)
            return grant;
    value.grants.push_back({holder, data_centre, 0, 0, 0, 0, 0});
    return value.grants.back();
}

/** Erases a holder's grant that has no tokens and was never renewed. */
void erase_empty_grant(account& value, const instance_id& holder)
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

expected<renewal_result> renew_grant(const account& before,
                                     const grant_renewal& request)
{
    renewal_result result{before, 0};
    auto& after = result.after;
    if (request.plan_version > after.plan_version) {
        after.prepaid = request.prepaid;
        after.plan_version = request.plan_version;
    }
    auto& grant = find_or_add_grant(after, request.holder, request.data_centre);
    const bool reverses_too_much = request.used < -after.settled;
    if (reverses_too_much || request.used > grant.amount)
        return fail(error_code::invalid_input, "renew grant",
                    "used tokens exceed the grant, or reversed tokens exceed "
                    "the settled total");
    if (request.extra < 0 && grant.amount - request.used + request.extra < 0)
        return fail(error_code::invalid_input, "renew grant",
                    "returned tokens exceed the rest of the grant");
    grant.amount -= request.used;
    grant.used_total += request.used;
    after.settled += request.used;
    result.extra = std::min(request.extra, unassigned(after));
    grant.amount += result.extra;
    grant.solo = request.alone
                     ? grant.amount
                     : grant.amount * request.solo_percent / all_percent;
    grant.sequence = request.sequence;
    grant.last_extra = result.extra;
    return result;
}

expected<account> adopt_grant(const account& before, const adoption& evidence)
{
    const auto* lost = find_grant(before, evidence.lost);
    if (lost == nullptr)
        return fail(error_code::not_found, "adopt grant",
                    "the lost holder has no grant in the account");
    const auto unsettled =
        std::max<token_count>(evidence.used_total - lost->used_total, 0);
    const auto used = std::min(unsettled, lost->amount);
    const auto open = std::min(evidence.open, lost->amount - used);
    const auto rest = lost->amount - used - open;
    const auto newly_unproven =
        evidence.exact ? std::min(rest, lost->solo) : rest;
    account after = before;
    std::erase_if(after.grants, [&](const auto& grant) {
        return grant.holder == evidence.lost;
    });
    after.settled += used;
    after.unproven += newly_unproven;
    auto& heir = find_or_add_grant(after, evidence.heir, evidence.data_centre);
    heir.amount += open;
    erase_empty_grant(after, evidence.heir);
    after.adopted.push_back({evidence.lost, evidence.heir});
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
