/** @file account_cmd.hpp Commands and queries on an account value. */
#pragma once

#include "budget/account_type.hpp"
#include "common/error_type.hpp"

namespace rosemarydeck
{

/** @return Tokens that are neither settled, unproven nor granted. */
token_count unassigned(const account& value);

/** @return A holder's grant, or nullptr. */
const grant_entry* find_grant(const account& value, const instance_id& holder);

/** A holder's settlement and requested change of its grant. */
struct grant_renewal
{
    instance_id holder;
    dc_id data_centre;
    std::uint64_t sequence = 0; ///< Number of this renewal, from 1.
    /** Tokens spent since the last renewal, less reversed charges. */
    token_count used = 0;
    token_count extra = 0; ///< Requested on top; negative returns tokens.
    bool alone = false;    ///< No other VM is available as witness.
    /** Percentage of the grant that may be spent without a witness; ignored if
     *  alone. */
    std::int64_t solo_percent = 0;
    token_count prepaid = 0;         ///< Total in the plan known to the holder.
    object_version plan_version = 0; ///< Version of that plan.

    bool operator==(const grant_renewal&) const = default;
};

/** An account after a renewal, and the tokens added to the grant. */
struct renewal_result
{
    account after;
    token_count extra = 0; ///< At most the requested number.

    bool operator==(const renewal_result&) const = default;
};

/**
 * Settles the tokens that a holder used and changes its grant.
 * @param before The account as last read.
 * @param request The tokens used and the requested change.
 * @return The new account; invalid_input if more is used than granted, reversed
 * than settled, or returned than is left in the grant.
 */
expected<renewal_result> renew_grant(const account& before,
                                     const grant_renewal& request);

/** What the witnesses' records show about a lost holder's grant. The witnesses
 *  are sealed: they no longer accept records of the lost holder. */
struct adoption
{
    instance_id lost;
    instance_id heir;           ///< Takes over the holder's reservations.
    dc_id data_centre;          ///< Data centre of the heir.
    token_count used_total = 0; ///< Total that the lost holder has used.
    token_count open = 0;       ///< Reserved by requests still running.
    bool exact = false;         ///< Every witness has reported.

    bool operator==(const adoption&) const = default;
};

/**
 * Ends a lost holder's grant: settles what the holder used, moves reserved
 * tokens to the heir and frees the rest, except what the holder may have spent
 * without a record. That becomes unproven: at most the solo part if every
 * witness has reported, otherwise the whole rest.
 * @param before The account as last read.
 * @param evidence Result of the witnesses' reports.
 * @return The new account; not_found if the lost holder has no grant.
 */
expected<account> adopt_grant(const account& before, const adoption& evidence);

/** @return The account parsed from JSON, or invalid_input. */
expected<account> parse_account(const std::string& text);

} // namespace rosemarydeck
