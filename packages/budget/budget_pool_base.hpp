/** @file budget_pool_base.hpp A holder's own view of one grant. */
#pragma once

#include "common/id_type.hpp"
#include "common/time_type.hpp"

namespace rosemarydeck
{

/** A renewal that has been sent and not yet confirmed. */
struct pending_renewal
{
    std::uint64_t sequence = 0;
    token_count used = 0;
    token_count extra = 0;

    bool operator==(const pending_renewal&) const = default;
};

/**
 * Counts one customer's tokens at the holder of a grant. What may be spent
 * is right whether or not a renewal in flight has taken effect.
 */
class budget_pool
{
public:
    /** @return Tokens that may be reserved now. */
    [[nodiscard]] token_count available() const;
    /** @return Tokens held by open reservations. */
    [[nodiscard]] token_count reserved() const { return reserved_; }
    /** @return Tokens spent and not yet confirmed as settled. */
    [[nodiscard]] token_count used() const { return used_; }
    /** @return Tokens granted by the last confirmed renewal. */
    [[nodiscard]] token_count granted() const { return granted_; }
    /** @return Tokens that may be spent without a witness. */
    [[nodiscard]] token_count solo_limit() const { return solo_; }
    /** @return True while a renewal is in flight or unresolved. */
    [[nodiscard]] bool renewing() const { return renewing_; }
    /** @return The renewal in flight. */
    [[nodiscard]] const pending_renewal& pending() const { return pending_; }
    /** @return True when nothing is held, spent or in flight. */
    [[nodiscard]] bool idle() const;

    /** @param amount Tokens. @return False if they are not available. */
    bool reserve(token_count amount);
    /** Ends a reservation. @param amount What it held. @param spent What of
     * it was spent, at most @p amount. */
    void settle(token_count amount, token_count spent);
    /** Takes back what was spent. @param spent Tokens that were settled. */
    void reverse(token_count spent);
    /** Takes over reservations of an adopted grant. */
    void adopt(token_count open);

    /**
     * Starts a renewal. From then on it can only be confirmed: a write whose
     * answer was lost may still take effect, so it is repeated unchanged
     * until the account shows its sequence number.
     * @param extra Wanted on top; negative gives back.
     * @return What to write to the account.
     */
    pending_renewal begin_renewal(token_count extra);
    /** The renewal took effect. @param got What came on top. @param solo The
     * grant's new part without witness. */
    void confirm_renewal(token_count got, token_count solo);

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
