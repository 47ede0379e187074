/** @file budget_pool_base.cpp A holder's local view of its grant. */
#include "budget/budget_pool_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

token_count budget_pool::available() const
{
    // Tokens being returned are unavailable from the moment of sending.
    const auto returning =
        renewing_ ? std::max<token_count>(-pending_.extra, 0) : 0;
    // Reversed tokens become available only once a renewal has settled them.
    return granted_ - std::max<token_count>(used_, 0) - reserved_ - returning;
}

bool budget_pool::idle() const
{
    return granted_ == 0 && reserved_ == 0 && used_ == 0 && !renewing_;
}

bool budget_pool::reserve(token_count amount)
{
    if (amount < 0 || amount > available())
        return false;
    reserved_ += amount;
    return true;
}

void budget_pool::settle(token_count amount, token_count spent)
{
    reserved_ -= amount;
    used_ += std::clamp<token_count>(spent, 0, amount);
}

void budget_pool::reverse(token_count spent)
{
    used_ -= spent;
}

void budget_pool::adopt(token_count open)
{
    granted_ += open;
    reserved_ += open;
}

pending_renewal budget_pool::begin_renewal(token_count extra)
{
    const auto max_returned = std::max<token_count>(available(), 0);
    pending_ = {++sequence_, used_, std::max(extra, -max_returned)};
    renewing_ = true;
    return pending_;
}

void budget_pool::confirm_renewal(token_count granted_extra, token_count solo)
{
    granted_ += granted_extra - pending_.used;
    used_ -= pending_.used;
    solo_ = solo;
    renewing_ = false;
}

} // namespace rosemarydeck
