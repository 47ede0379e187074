/** @file share_limit_func.cpp Spendable part of a grant over time. */
#include "ledger/share_limit_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

token_count share_limit(const ledger_share& share, duration time_since_write)
{
    using seconds = std::chrono::duration<double>;
    const auto linear_time =
        std::clamp<duration>(time_since_write, {}, linear_growth_end);
    const auto linear_limit =
        share.spent + share.reserved + share.burst +
        static_cast<token_count>(
            static_cast<double>(share.slope) *
            std::chrono::duration_cast<seconds>(linear_time).count());
    const auto rest = std::max<token_count>(0, share.granted - linear_limit);
    const auto ramp_fraction =
        std::clamp(seconds(time_since_write - linear_growth_end) /
                       seconds(full_grant_time - linear_growth_end),
                   0.0, 1.0);
    return std::min(share.granted,
                    linear_limit +
                        static_cast<token_count>(ramp_fraction *
                                                 static_cast<double>(rest)));
}

} // namespace rosemarydeck
