/** @file answer_store_base.cpp Answers of open and finished requests. */
#include "web/answer_store_base.hpp"

namespace rosemarydeck
{

answer_store::answer_store(std::size_t max_kept_bytes)
    : max_kept_bytes_(max_kept_bytes)
{
}

request_id answer_store::next_id()
{
    return request_id(++last_id_);
}

void answer_store::add(request_id id, std::shared_ptr<answer_log> log)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    logs_[id] = std::move(log);
}

std::shared_ptr<answer_log> answer_store::find(request_id id) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = logs_.find(id);
    return found == logs_.end() ? nullptr : found->second;
}

void answer_store::drop(request_id id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    logs_.erase(id);
}

std::vector<request_id> answer_store::keep(request_id id)
{
    std::vector<request_id> evicted;
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = logs_.find(id);
    if (found == logs_.end())
        return evicted;
    kept_.push_back(id);
    kept_bytes_ += found->second->size();
    while (kept_bytes_ > max_kept_bytes_ && !kept_.empty()) {
        const auto oldest = kept_.front();
        kept_.pop_front();
        kept_bytes_ -= logs_.at(oldest)->size();
        logs_.erase(oldest);
        evicted.push_back(oldest);
    }
    return evicted;
}

} // namespace rosemarydeck
