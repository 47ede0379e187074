/** @file credit_pool_base.cpp Credit received from other VMs. */
#include "credit/credit_pool_base.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarydeck
{

namespace
{

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double cover_factor(token_count prepaid, token_count consumed)
{
    constexpr double full_cover_part = 0.25;
    constexpr double no_cover_part = 0.05;
    if (prepaid <= 0)
        return 0;
    const auto left =
        static_cast<double>(prepaid - consumed) / static_cast<double>(prepaid);
    return std::clamp(
        (left - no_cover_part) / (full_cover_part - no_cover_part), 0.0, 1.0);
}

credit_pool::credit_pool(credit_policy policy) : policy_(policy) {}

void credit_pool::set_cover_factor(const customer_id& customer, double factor)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[customer].cover_factor = factor;
}

token_count credit_pool::target(const entry& known, time_point now) const
{
    return static_cast<token_count>(rate_at(known, now) *
                                    policy_.cover_seconds * known.cover_factor);
}

double credit_pool::rate_at(const entry& known, time_point now) const
{
    const auto age = seconds(now - known.last_active);
    return known.rate * std::exp(-age / seconds(policy_.rate_window));
}

void credit_pool::record_demand(const customer_id& customer, token_count tokens,
                                time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    known.rate = rate_at(known, now) +
                 static_cast<double>(tokens) / seconds(policy_.rate_window);
    known.last_active = now;
    known.has_demand = true;
}

bool credit_pool::reserve(const customer_id& customer, token_count tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    if (tokens < 0 || known.free < tokens)
        return false;
    known.free -= tokens;
    return true;
}

void credit_pool::settle(const customer_id& customer, token_count reserved,
                         token_count used)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto charged = std::clamp<token_count>(used, 0, reserved);
    auto& known = entries_[customer];
    known.free += reserved - charged;
    known.used += charged;
}

std::vector<credit_usage> credit_pool::take_unreported()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<credit_usage> result;
    for (auto& [customer, known] : entries_)
        if (known.used > 0)
            result.push_back({customer, std::exchange(known.used, 0)});
    return result;
}

void credit_pool::restore_unreported(const credit_usage& use)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[use.customer].used += use.tokens;
}

void credit_pool::add(const customer_id& customer, token_count tokens,
                      time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& known = entries_[customer];
    known.free += tokens;
    if (known.last_active == time_point{})
        known.last_active = now;
}

token_count credit_pool::release(const customer_id& customer,
                                 token_count min_tokens,
                                 token_count wanted_tokens)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    if (found == entries_.end() || found->second.free < min_tokens)
        return 0;
    const auto given =
        std::min(found->second.free, std::max(min_tokens, wanted_tokens));
    found->second.free -= given;
    return given;
}

std::vector<credit_shortfall> credit_pool::shortfalls(time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<credit_shortfall> result;
    for (const auto& [customer, known] : entries_) {
        if (!known.has_demand)
            continue;
        const auto wanted = target(known, now);
        if (known.free * 2 < wanted)
            result.push_back({customer, wanted - known.free});
    }
    return result;
}

std::vector<credit_return> credit_pool::take_idle(time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<credit_return> result;
    for (auto& [customer, known] : entries_) {
        const bool idle = now - known.last_active > policy_.max_idle_time;
        const auto kept = idle ? 0 : target(known, now);
        const bool excess =
            idle || (known.cover_factor < 1 && known.free > kept * 2);
        if (known.free > 0 && excess) {
            result.push_back({customer, known.free - kept});
            known.free = kept;
        }
    }
    return result;
}

std::vector<customer_id> credit_pool::customers() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<customer_id> result;
    for (const auto& [customer, known] : entries_)
        result.push_back(customer);
    return result;
}

std::vector<credit_return> credit_pool::release_all()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<credit_return> result;
    for (auto& [customer, known] : entries_)
        if (known.free > 0)
            result.push_back({customer, std::exchange(known.free, 0)});
    return result;
}

token_count credit_pool::free(const customer_id& customer) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(customer);
    return found == entries_.end() ? 0 : found->second.free;
}

} // namespace rosemarydeck
