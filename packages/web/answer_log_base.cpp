/** @file answer_log_base.cpp One request and its growing answer. */
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
    held_end_ = std::move(bytes);
}

void answer_log::finish()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (finished_)
            return;
        bytes_ += held_end_;
        held_end_.clear();
        finished_ = true;
    }
    changed_.notify_all();
}

void answer_log::end_without_answer(log_read_result result)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!finished_ && !final_result_)
            final_result_ = std::move(result);
    }
    changed_.notify_all();
}

log_read_result answer_log::wait_for_more(std::size_t offset)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] {
        return bytes_.size() > offset || finished_ || final_result_;
    });
    if (bytes_.size() <= offset && final_result_)
        return *final_result_;
    return answer_part{status_, content_type_, bytes_.substr(offset),
                       finished_};
}

std::size_t answer_log::size() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return bytes_.size() + held_end_.size() + request_.body.size();
}

} // namespace rosemarydeck
