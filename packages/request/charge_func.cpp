/** @file charge_func.cpp Charges and refunds of answers. */
#include "request/charge_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t hundred_percent = 100;

bool is_late(const answer_timing& timing, const latency_target& target)
{
    return timing.first_token_ms > target.first_token_ms ||
           timing.whole_answer_ms > target.whole_answer_ms;
}

} // namespace

bill price_bill(bill draft, token_count reserved, const latency_target& target)
{
    draft.charged = std::clamp<token_count>(draft.usage.total(), 0, reserved);
    draft.refunded = 0;
    if (is_late(draft.timing, target))
        draft.refunded =
            draft.charged * target.refund_percent / hundred_percent;
    return draft;
}

} // namespace rosemarydeck
