/** @file answer_store_base.hpp Answers of open and finished requests. */
#pragma once

#include "web/answer_log_base.hpp"

#include <atomic>
#include <list>
#include <unordered_map>

namespace rosemarydeck
{

/** Finds logs by request number; keeps finished ones up to a size. */
class answer_store
{
public:
    /** @param max_kept_bytes Of finished answers together. */
    explicit answer_store(std::size_t max_kept_bytes);

    /** @return A number that no other request of this process has. */
    request_id next_id();
    /** Adds an open request. */
    void add(request_id id, std::shared_ptr<answer_log> log);
    /** @return The log, or null. */
    [[nodiscard]] std::shared_ptr<answer_log> find(request_id id) const;
    /** Drops a request that ended without an answer of its own. */
    void drop(request_id id);
    /** A request has its answer. @return Answers dropped for room. */
    std::vector<request_id> keep(request_id id);

private:
    const std::size_t max_kept_bytes_;
    std::atomic<std::uint64_t> last_id_{0};
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<answer_log>> logs_;
    std::list<request_id> kept_; ///< Oldest first.
    std::size_t kept_bytes_ = 0;
};

} // namespace rosemarydeck
