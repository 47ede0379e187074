/** @file answer_log_base.cpp One request and the answer as it grows. */
#include "web/answer_log_base.hpp"

namespace rosemarydeck
{

answer_log::answer_log(upstream_request request, std::size_t max_bytes)
    : request_(std::move(request)), max_bytes_(max_bytes)
{
}

void answer_log::start(unsigned status, const std::string& content_type)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    status_ = status;
    content_type_ = content_type;
}

bool answer_log::append(const std::string& bytes)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (bytes_.size() + bytes.size() > max_bytes_)
            return false;
        bytes_ += bytes;
    }
    changed_.notify_all();
    return true;
}

void answer_log::hold_end(std::string bytes)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    end_ = std::move(bytes);
}

void answer_log::finish()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (finished_)
            return;
        bytes_ += end_;
        end_.clear();
        finished_ = true;
    }
    changed_.notify_all();
}

void answer_log::divert(log_step step)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!finished_ && !diverted_)
            diverted_ = std::move(step);
    }
    changed_.notify_all();
}

log_step answer_log::wait(std::size_t from)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(
        lock, [&] { return bytes_.size() > from || finished_ || diverted_; });
    if (bytes_.size() <= from && diverted_)
        return *diverted_;
    return answer_part{status_, content_type_, bytes_.substr(from), finished_};
}

std::size_t answer_log::size() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return bytes_.size() + end_.size() + request_.body.size();
}

} // namespace rosemarydeck
