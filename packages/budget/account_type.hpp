/** @file account_type.hpp A customer's account in the object service. */
#pragma once

#include "common/id_type.hpp"
#include "common/json_type.hpp"
#include "object_service/object_call_type.hpp"

#include <vector>

namespace rosemarydeck
{

/**
 * Grant: the tokens that one instance, its holder, may spend without a platform
 * call. The holder's witness is another VM that keeps a copy of the holder's
 * reservations and settlements, so that the rest of the grant can be freed if
 * the holder is lost.
 */
struct grant_entry
{
    instance_id holder;
    dc_id data_centre;
    token_count amount = 0;     ///< Granted, not yet settled.
    token_count solo = 0;       ///< Part spendable without a witness.
    token_count used_total = 0; ///< Total ever settled by the holder.
    std::uint64_t sequence = 0; ///< Number of the last renewal.
    token_count last_extra = 0; ///< Tokens added by that renewal.

    bool operator==(const grant_entry&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(grant_entry);

/** Record of an adoption: the lost holder and the heir that took over its
 *  reservations. */
struct adopted_grant
{
    instance_id lost;
    instance_id heir;

    bool operator==(const adopted_grant&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(adopted_grant);

/** Maximum number of adoptions kept in an account. They show whether an
 *  adoption whose answer was lost has taken effect. */
inline constexpr std::size_t max_adopted_grants = 16;

/**
 * A customer's prepaid tokens and their allocation. Invariant: settled,
 * unproven and all grants together never exceed prepaid, unless prepaid was
 * lowered after the grants were made.
 */
struct account
{
    customer_id customer;
    token_count prepaid = 0;         ///< Total bought by the customer.
    object_version plan_version = 0; ///< Version of the plan that sets prepaid.
    token_count settled = 0;         ///< Charged for use.
    token_count unproven = 0;        ///< Possibly spent by a lost VM.
    std::vector<grant_entry> grants;
    std::vector<adopted_grant> adopted; ///< Newest last.

    bool operator==(const account&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(account);

/** Start of the name of an account object. */
inline const std::string accounts_prefix = "accounts/";

} // namespace rosemarydeck
