/** @file budget_pool_base.hpp A holder's local view of its grant. */
#pragma once

#include "common/id_type.hpp"
#include "common/time_type.hpp"

namespace rosemarydeck
{

/** A renewal that has been sent and not yet confirmed. */
struct pending_renewal
{
    std::uint64_t sequence = 0; ///< Number of the renewal.
    token_count used = 0;       ///< Tokens to settle; negative if reversed.
    token_count extra = 0;      ///< Requested on top; negative returns tokens.

    bool operator==(const pending_renewal&) const = default;
};

/**
 * Counts one customer's tokens at the holder of a grant. The available tokens
 * are covered by the grant whether or not a renewal in flight has taken effect.
 * A renewal settles used tokens in the account; settle() ends a reservation and
 * counts the tokens used.
 */
class budget_pool
{
public:
    /** @return Tokens that can be reserved now. */
    [[nodiscard]] token_count available() const;
    /** @return Tokens in open reservations. */
    [[nodiscard]] token_count reserved() const { return reserved_; }
    /** @return Tokens spent, less reversed ones, that are not yet confirmed as
     *  settled in the account. */
    [[nodiscard]] token_count used() const { return used_; }
    /** @return Unsettled tokens granted, as of the last confirmed renewal, and
     *  adopted ones. */
    [[nodiscard]] token_count granted() const { return granted_; }
    /** @return Part of the grant that may be spent without a witness. */
    [[nodiscard]] token_count solo_limit() const { return solo_; }
    /** @return True while a renewal is in flight or unresolved. */
    [[nodiscard]] bool renewing() const { return renewing_; }
    /** @return The renewal in flight, or the last one if none is. */
    [[nodiscard]] const pending_renewal& pending() const { return pending_; }
    /** @return True if nothing is granted, reserved, unsettled or in flight. */
    [[nodiscard]] bool idle() const;

    /** Reserves tokens. @return False if @p amount is not available. */
    bool reserve(token_count amount);
    /** Ends a reservation. @param amount Reserved tokens. @param spent Part of
     * them that was spent, capped at @p amount. */
    void settle(token_count amount, token_count spent);
    /** Reverses a charge. @param spent Tokens charged earlier. */
    void reverse(token_count spent);
    /** Takes over a lost holder's reservations. @param open Tokens in them. */
    void adopt(token_count open);

    /**
     * Starts a renewal. It cannot be cancelled: a write whose answer was lost
     * may still take effect, so it is repeated unchanged until the account
     * shows its sequence number.
     * @param extra Requested on top; negative returns tokens, at most those
     * available.
     * @return The renewal to write to the account.
     */
    pending_renewal begin_renewal(token_count extra);
    /** Applies a renewal that took effect.
     * @param granted_extra Tokens added; negative if returned.
     * @param solo Part of the grant that may be spent without a witness. */
    void confirm_renewal(token_count granted_extra, token_count solo);

private:
    token_count granted_ = 0;
    token_count solo_ = 0;
    token_count reserved_ = 0;
    token_count used_ = 0;
    std::uint64_t sequence_ = 0;
    bool renewing_ = false;
    pending_renewal pending_;
};

} // namespace rosemarydeck
