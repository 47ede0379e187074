/** @file bill_outbox_base.cpp Bills not yet confirmed by the platform. */
#include "request/bill_outbox_base.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

/** Keeps a batch below the platform's maximum object size, and the time to
 *  encode it short. */
constexpr std::size_t max_batch_bills = 250;

} // namespace

bill_batch parse_bill_batch(const std::string& text)
{
    try {
        return nlohmann::json::parse(text).get<bill_batch>();
    }
    catch (const nlohmann::json::exception&) {
        return {};
    }
}

bill_outbox::bill_outbox(std::string prefix) : prefix_(std::move(prefix)) {}

void bill_outbox::add(bill entry)
{
    unsent_.push_back(std::move(entry));
}

std::size_t bill_outbox::size() const
{
    return unsent_.size() + (in_flight_ ? in_flight_->batch.bills.size() : 0);
}

std::optional<named_batch> bill_outbox::next_batch()
{
    if (in_flight_)
        return in_flight_;
    if (unsent_.empty())
        return std::nullopt;
    const auto count = std::min(unsent_.size(), max_batch_bills);
    named_batch next{prefix_ + std::to_string(++last_batch_number_), {}};
    next.batch.bills.assign(unsent_.begin(),
                            unsent_.begin() + std::ptrdiff_t(count));
    unsent_.erase(unsent_.begin(), unsent_.begin() + std::ptrdiff_t(count));
    in_flight_ = std::move(next);
    return in_flight_;
}

std::vector<bill> bill_outbox::confirm()
{
    if (!in_flight_)
        return {};
    auto stored = std::move(in_flight_->batch.bills);
    in_flight_.reset();
    return stored;
}

} // namespace rosemarydeck
