/** @file wallet_base.cpp Local reservations against this run's grants. */
#include "ledger/wallet_base.hpp"

#include "ledger/share_limit_func.hpp"

#include <algorithm>
#include <cmath>

namespace rosemarydeck
{

namespace
{

/** Weight of a sample above the smoothed rate, and of one below it. */
constexpr double rise_weight = 0.6;
constexpr double fall_weight = 0.15;
/** Time over which mean_rate is averaged, in seconds. */
constexpr double mean_rate_window = 6;
/** Minimum time between rate samples; a shorter time gives an unsteady rate. */
constexpr auto min_rate_interval = std::chrono::milliseconds(500);
/** Fraction by which max_reservation decays at each sample. */
constexpr double max_reservation_decay = 0.1;
/** Precision of a forecast of headroom. */
constexpr auto headroom_forecast_step = std::chrono::milliseconds(100);
/** Divisors of the headroom. The quotient bounds the tokens lent, unless the
 *  minimum amount is larger: for a waiting request, and ahead of demand. */
constexpr token_count demand_divisor = 2;
constexpr token_count prefetch_divisor = 16;

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
    usage.max_reservation = std::max(usage.max_reservation, tokens);
    if (tokens < 0)
        return false;
    if (tokens > known.limit(now) - usage.spent - usage.reserved) {
        usage.unmet_demand = std::max(usage.unmet_demand, tokens);
        return false;
    }
    usage.reserved += tokens;
    return true;
}

token_count wallet::lend(const customer_id& customer, token_count min_tokens,
                         token_count wanted_tokens, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& usage = known.usage;
    usage.max_reservation = std::max(usage.max_reservation, min_tokens);
    const auto headroom = known.limit(now) - usage.spent - usage.reserved;
    if (headroom < min_tokens) {
        usage.unmet_demand = std::max(usage.unmet_demand, min_tokens);
        return 0;
    }
    const auto max_lent =
        headroom / (min_tokens > 0 ? demand_divisor : prefetch_divisor);
    const auto lent = std::max(
        {min_tokens, std::min(wanted_tokens, max_lent), token_count{0}});
    usage.spent += lent;
    usage.lent += lent;
    return lent;
}

void wallet::begin_wait(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[customer].waiting += tokens;
}

void wallet::end_wait(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[customer].waiting -= tokens;
}

token_count wallet::waiting(const customer_id& customer) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    return found == entries_.end() ? 0 : found->second.waiting;
}

void wallet::record_unmet(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& unmet = entries_[customer].usage.unmet_demand;
    unmet = std::max(unmet, tokens);
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

void wallet::update_mean_rate(entry& known, double rate, time_point now)
{
    const auto seconds = [&](time_point since) {
        return std::chrono::duration<double>(now - since).count();
    };
    // Samples from before the first one don't count, so that the mean is not
    // too low at first.
    const auto total =
        1 - std::exp(-seconds(known.rate_since) / mean_rate_window);
    const auto weight =
        1 - std::exp(-seconds(known.rate_sample_at) / mean_rate_window);
    auto& mean = known.usage.mean_rate;
    mean += std::min(1.0, weight / total) * (rate - mean);
}

wallet_usage wallet::sample_usage(const customer_id& customer, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& usage = known.usage;
    const auto span = now - known.rate_sample_at;
    if (known.rate_sample_at == time_point{}) {
        known.rate_sample_at = now;
        known.rate_sample_spent = usage.spent;
        known.rate_since = now;
    }
    else if (span >= min_rate_interval) {
        const auto rate =
            static_cast<double>(usage.spent - known.rate_sample_spent) /
            std::chrono::duration<double>(span).count();
        const auto weight = rate > usage.rate ? rise_weight : fall_weight;
        usage.rate += weight * (rate - usage.rate);
        update_mean_rate(known, rate, now);
        known.rate_sample_at = now;
        known.rate_sample_spent = usage.spent;
    }
    auto result = usage;
    result.unmet_demand = std::max(result.unmet_demand, known.waiting);
    usage.unmet_demand = 0;
    usage.max_reservation -= static_cast<token_count>(
        static_cast<double>(usage.max_reservation) * max_reservation_decay);
    return result;
}

void wallet::add_terms(const customer_id& customer, wallet_terms& terms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    auto& share = terms.share;
    share.reserved =
        std::max(share.reserved, known.usage.spent + known.usage.reserved -
                                     terms.offset - share.spent);
    share.granted = std::max(share.granted, share.spent + share.reserved);
    // Nothing can be reserved until the first write is confirmed.
    if (known.terms.empty())
        known.terms.push_back({{}, terms.sent, terms.offset});
    known.terms.push_back(terms);
}

void wallet::replace_terms(const customer_id& customer,
                           const wallet_terms& terms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[customer].terms = {terms};
}

token_count wallet::reset_terms(const customer_id& customer)
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

std::optional<duration> wallet::time_since_grant(const customer_id& customer,
                                                 time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    if (found == entries_.end() || found->second.terms.empty())
        return std::nullopt;
    return now - found->second.terms.front().sent;
}

std::optional<duration> wallet::time_until_headroom(const customer_id& customer,
                                                    token_count tokens,
                                                    time_point now,
                                                    duration max) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    if (found == entries_.end())
        return std::nullopt;
    const auto& known = found->second;
    const auto used = known.usage.spent + known.usage.reserved;
    for (duration wait{}; wait <= max; wait += headroom_forecast_step)
        if (known.limit(now + wait) - used >= tokens)
            return wait;
    return std::nullopt;
}

void wallet::record_shortage(const customer_id& customer, token_count tokens,
                             time_point until)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    known.shortage_tokens = tokens;
    known.shortage_until = until;
}

bool wallet::may_obtain(const customer_id& customer, token_count tokens,
                        time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    return found == entries_.end() || found->second.shortage_until <= now ||
           tokens < found->second.shortage_tokens;
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
