/** @file answer_store_base.hpp Answers of open and finished requests. */
#pragma once

#include "web/answer_log_base.hpp"

#include <atomic>
#include <list>
#include <unordered_map>

namespace rosemarydeck
{

/** Answer logs by request id; finished ones are kept up to a total size. */
class answer_store
{
public:
    /** @param max_kept_bytes Size limit of all finished logs together. */
    explicit answer_store(std::size_t max_kept_bytes);

    /** @return A request id that is unique within this process. */
    request_id next_id();
    /** Adds the log of an open request. */
    void add(request_id id, std::shared_ptr<answer_log> log);
    /** @return The request's log, or null. */
    [[nodiscard]] std::shared_ptr<answer_log> find(request_id id) const;
    /** Removes the log of a request whose answer is not kept. */
    void drop(request_id id);
    /**
     * Keeps the log of a finished request for retries.
     * @return Requests whose logs were evicted, oldest first.
     */
    std::vector<request_id> keep(request_id id);

private:
    const std::size_t max_kept_bytes_;
    std::atomic<std::uint64_t> last_id_{0};
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<answer_log>> logs_;
    std::list<request_id> kept_; ///< Finished requests, oldest first.
    std::size_t kept_bytes_ = 0;
};

} // namespace rosemarydeck
