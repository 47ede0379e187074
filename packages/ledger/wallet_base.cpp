/** @file wallet_base.cpp What this VM may spend for each customer. */
#include "ledger/wallet_base.hpp"

#include "ledger/share_limit_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Weight of the newest reading in the smoothed rate, upward and downward. */
constexpr double rise_weight = 0.6;
constexpr double fall_weight = 0.15;
/** Readings closer together would make the rate jump. */
constexpr auto least_rate_span = std::chrono::milliseconds(500);
/** Part of the largest reservation that is forgotten at each reading. */
constexpr double largest_decay = 0.1;
/** Of the headroom, another VM gets at most one in so many for requests that
 *  wait there, and ahead of need. */
constexpr token_count need_divisor = 2;
constexpr token_count ahead_divisor = 16;

} // namespace

token_count wallet::entry::limit(time_point now) const
{
    if (terms.empty())
        return 0;
    auto lowest = std::numeric_limits<token_count>::max();
    for (const auto& one : terms)
        lowest = std::min(lowest,
                          one.offset + share_limit(one.share, now - one.sent));
    return lowest;
}

bool wallet::reserve(const customer_id& customer, token_count tokens,
                     time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& usage = known.usage;
    usage.largest = std::max(usage.largest, tokens);
    if (known.first_seen == time_point{})
        known.first_seen = now;
    if (usage.spent + usage.reserved + tokens > known.limit(now)) {
        usage.missing = std::max(usage.missing, tokens);
        return false;
    }
    usage.reserved += tokens;
    return true;
}

token_count wallet::lend(const customer_id& customer, token_count min_amount,
                         token_count wish, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& usage = known.usage;
    usage.largest = std::max(usage.largest, min_amount);
    if (known.first_seen == time_point{})
        known.first_seen = now;
    const auto headroom = known.limit(now) - usage.spent - usage.reserved;
    if (headroom < min_amount) {
        usage.missing = std::max(usage.missing, min_amount);
        return 0;
    }
    const auto most =
        headroom / (min_amount > 0 ? need_divisor : ahead_divisor);
    const auto taken =
        std::max({min_amount, std::min(wish, most), token_count{0}});
    usage.spent += taken;
    usage.lent += taken;
    return taken;
}

void wallet::record_credit_usage(const customer_id& customer,
                                 token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& lent = entries_[customer].usage.lent;
    lent = std::max<token_count>(0, lent - tokens);
}

void wallet::settle(const customer_id& customer, token_count reserved,
                    token_count used)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& usage = entries_[customer].usage;
    usage.reserved -= reserved;
    usage.spent += std::clamp<token_count>(used, 0, reserved);
}

wallet_usage wallet::read(const customer_id& customer, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& usage = known.usage;
    const auto span = now - known.rated_at;
    if (known.rated_at == time_point{}) {
        known.rated_at = now;
        known.rated_spent = usage.spent;
    }
    else if (span >= least_rate_span) {
        const auto rate = static_cast<double>(usage.spent - known.rated_spent) /
                          std::chrono::duration<double>(span).count();
        const auto weight = rate > usage.rate ? rise_weight : fall_weight;
        usage.rate += weight * (rate - usage.rate);
        known.rated_at = now;
        known.rated_spent = usage.spent;
    }
    if (known.first_seen != time_point{})
        usage.history =
            std::chrono::duration<double>(now - known.first_seen).count();
    const auto result = usage;
    usage.missing = 0;
    usage.largest -= static_cast<token_count>(
        static_cast<double>(usage.largest) * largest_decay);
    return result;
}

void wallet::propose(const customer_id& customer, wallet_terms& terms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& share = terms.share;
    share.held = std::max(share.held, known.usage.spent + known.usage.reserved -
                                          terms.offset - share.spent);
    share.granted = std::max(share.granted, share.spent + share.held);
    // Until a write is known to be done, nothing is granted.
    if (known.terms.empty())
        known.terms.push_back({{}, terms.sent, terms.offset});
    known.terms.push_back(terms);
}

void wallet::confirm(const customer_id& customer, const wallet_terms& terms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[customer].terms = {terms};
}

token_count wallet::restart(const customer_id& customer)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    known.terms.clear();
    return known.usage.spent + known.usage.reserved;
}

token_count wallet::headroom(const customer_id& customer, time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    if (found == entries_.end())
        return 0;
    const auto& usage = found->second.usage;
    return found->second.limit(now) - usage.spent - usage.reserved;
}

void wallet::record_shortage(const customer_id& customer, token_count tokens,
                             time_point until)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    known.short_of = tokens;
    known.short_until = until;
}

bool wallet::may_obtain(const customer_id& customer, token_count tokens,
                        time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    return found == entries_.end() || found->second.short_until <= now ||
           tokens < found->second.short_of;
}

void wallet::record_consumed(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer].consumed;
    known = std::max(known, tokens);
}

token_count wallet::consumed(const customer_id& customer) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    return found == entries_.end() ? 0 : found->second.consumed;
}

} // namespace rosemarydeck
