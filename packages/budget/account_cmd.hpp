/** @file account_cmd.hpp Commands on an account value, and its queries. */
#pragma once

#include "budget/account_type.hpp"
#include "common/error_type.hpp"

namespace rosemarydeck
{

/** @return Tokens of an account that no one holds and no one has spent. */
token_count unassigned(const account& value);

/** @return A holder's grant, or null. */
const grant_entry* find_grant(const account& value, const instance_id& holder);

/** A holder's settlement and its wish for more, in one conditional write. */
struct grant_renewal
{
    instance_id holder;
    dc_id data_centre;
    std::uint64_t sequence = 0;
    token_count used = 0;  ///< Spent since the last renewal.
    token_count extra = 0; ///< Wanted on top; negative gives back.
    bool alone = false;    ///< No other VM can be a witness.
    std::int64_t solo_percent = 0;
    token_count prepaid = 0; ///< From the plan in force at the holder.
    object_version plan_version = 0;

    bool operator==(const grant_renewal&) const = default;
};

/** An account after a renewal, and what the holder got on top. */
struct renewed
{
    account after;
    token_count extra = 0; ///< At most what was wanted.

    bool operator==(const renewed&) const = default;
};

/**
 * Settles a holder's use and changes its grant.
 * @param before The account as last read.
 * @param wish What the holder asks for.
 * @return The new account; invalid_input if more was used than was granted
 * or more is given back than remains.
 */
expected<renewed> renew_grant(const account& before, const grant_renewal& wish);

/** What is known of a lost holder's grant once all witnesses are sealed. */
struct adoption
{
    instance_id lost;
    instance_id heir;
    dc_id data_centre;
    token_count used_total = 0; ///< All that the lost holder ever settled.
    token_count open = 0;       ///< Reserved by requests that still run.
    bool exact = false;         ///< Every witness has been heard.

    bool operator==(const adoption&) const = default;
};

/**
 * Ends a lost holder's grant: books its use, moves what is still reserved to
 * the heir and frees the rest, except what the lost holder may have spent
 * without a witness, which becomes unproven.
 * @param before The account as last read.
 * @param found What the witnesses have reported.
 * @return The new account; not_found if the grant is there no longer.
 */
expected<account> adopt_grant(const account& before, const adoption& found);

/** @return The account in a JSON text, or invalid_input. */
expected<account> parse_account(const std::string& text);

} // namespace rosemarydeck
