/** @file share_limit_func.hpp Spendable part of a grant over time. */
#pragma once

#include "common/time_type.hpp"
#include "ledger/ledger_type.hpp"

namespace rosemarydeck
{

/** Time since the write until which the spendable part grows by the share's
 *  slope: one renewal, one restart and a margin. */
constexpr std::chrono::milliseconds linear_growth_end{4'000};
/** Time since the write at which the whole grant is spendable. Shorter than a
 *  store outage, during which a run may need its whole grant. */
constexpr std::chrono::milliseconds full_grant_time{8'000};

/**
 * Limit of a share. It grows by the share's slope until linear_growth_end, then
 * linearly to the whole grant at full_grant_time.
 * @param time_since_write Time since the write that holds the share was sent.
 * @return Maximum total that the run can have spent and reserved by then.
 */
token_count share_limit(const ledger_share& share, duration time_since_write);

} // namespace rosemarydeck
