/** @file wallet_base.cpp What this VM may spend for each customer. */
#include "ledger/wallet_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** Weight of the newest reading in the smoothed rate, upward and downward. */
constexpr double rise_weight = 0.6;
constexpr double fall_weight = 0.15;
/** Part of the largest reservation that is forgotten at each reading. */
constexpr double largest_decay = 0.1;

} // namespace

bool wallet::reserve(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& usage = purses_[customer].usage;
    usage.largest = std::max(usage.largest, tokens);
    if (usage.spent + usage.reserved + tokens > usage.granted) {
        usage.missing = std::max(usage.missing, tokens);
        return false;
    }
    usage.reserved += tokens;
    return true;
}

void wallet::settle(const customer_id& customer, token_count reserved,
                    token_count used)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& usage = purses_[customer].usage;
    usage.reserved -= reserved;
    usage.spent += std::clamp<token_count>(used, 0, reserved);
}

std::map<customer_id, wallet_usage> wallet::read(time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<customer_id, wallet_usage> result;
    for (auto& [customer, one] : purses_) {
        auto& usage = one.usage;
        const auto span =
            std::chrono::duration<double>(now - one.rated_at).count();
        if (one.rated_at == time_point{}) {
            one.rated_at = now;
            one.rated_spent = usage.spent;
        }
        else if (span >= 0.5) {
            const auto rate =
                static_cast<double>(usage.spent - one.rated_spent) / span;
            const auto weight = rate > usage.rate ? rise_weight : fall_weight;
            usage.rate += weight * (rate - usage.rate);
            one.rated_at = now;
            one.rated_spent = usage.spent;
        }
        result[customer] = usage;
        usage.missing = 0;
        usage.largest -= static_cast<token_count>(
            static_cast<double>(usage.largest) * largest_decay);
    }
    return result;
}

token_count wallet::lower(const customer_id& customer, token_count granted)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& usage = purses_[customer].usage;
    usage.granted = std::min(usage.granted,
                             std::max(granted, usage.spent + usage.reserved));
    return usage.granted;
}

void wallet::confirm(const customer_id& customer, token_count granted)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    purses_[customer].usage.granted = granted;
}

void wallet::note_rest(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    purses_[customer].rest = tokens;
}

token_count wallet::rest(const customer_id& customer) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = purses_.find(customer);
    return found == purses_.end() ? std::numeric_limits<token_count>::max()
                                  : found->second.rest;
}

token_count wallet::headroom(const customer_id& customer) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = purses_.find(customer);
    if (found == purses_.end())
        return 0;
    const auto& usage = found->second.usage;
    return usage.granted - usage.spent - usage.reserved;
}

} // namespace rosemarydeck
