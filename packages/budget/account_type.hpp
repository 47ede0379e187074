/** @file account_type.hpp A customer's account in the platform's service. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "object_service/object_call_type.hpp"

#include <vector>

namespace rosemarydeck
{

/** Tokens that one instance may spend without asking the platform. */
struct grant_entry
{
    instance_id holder;
    dc_id data_centre;
    token_count amount = 0;     ///< Granted and not yet settled.
    token_count solo = 0;       ///< Part that may be spent without a witness.
    token_count used_total = 0; ///< All that this holder ever settled.
    std::uint64_t sequence = 0; ///< Of the holder's last renewal.
    token_count last_extra = 0; ///< What that renewal brought on top.

    bool operator==(const grant_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(grant_entry);

/** Who took over a lost holder's grant. */
struct adopted_grant
{
    instance_id lost;
    instance_id heir;

    bool operator==(const adopted_grant&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(adopted_grant);

/** Adoptions that an account remembers, so that a lost answer can be told. */
inline constexpr std::size_t max_adopted_grants = 16;

/**
 * What a customer has paid for and where it went. Invariant: settled,
 * unproven and all grants together never exceed prepaid, unless prepaid was
 * lowered after the grants were made.
 */
struct account
{
    customer_id customer;
    token_count prepaid = 0;
    object_version plan_version = 0; ///< Of the plan that set prepaid.
    token_count settled = 0;
    token_count unproven = 0; ///< May have been spent by a lost VM.
    std::vector<grant_entry> grants;
    std::vector<adopted_grant> adopted; ///< Newest last.

    bool operator==(const account&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(account);

inline const std::string accounts_prefix = "accounts/";

} // namespace rosemarydeck
