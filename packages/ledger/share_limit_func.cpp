/** @file share_limit_func.cpp How a grant opens with silence. */
#include "ledger/share_limit_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

token_count share_limit(const ledger_share& share, duration silence)
{
    using seconds = std::chrono::duration<double>;
    const auto sloping = std::clamp<duration>(silence, {}, slope_span);
    const auto opened =
        share.spent + share.held + share.open +
        static_cast<token_count>(
            static_cast<double>(share.slope) *
            std::chrono::duration_cast<seconds>(sloping).count());
    const auto rest = std::max<token_count>(0, share.granted - opened);
    const auto ramp = std::clamp(seconds(silence - slope_span) /
                                     seconds(full_span - slope_span),
                                 0.0, 1.0);
    return std::min(
        share.granted,
        opened + static_cast<token_count>(ramp * static_cast<double>(rest)));
}

} // namespace rosemarydeck
