/** @file answer_log_base.hpp One request and its growing answer. */
#pragma once

#include "core/action_type.hpp"
#include "core/event_type.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemarydeck
{

/** A caller's request in the form that is sent to a backend server. */
struct upstream_request
{
    std::string method = "POST";
    std::string path;
    std::string content_type = "application/json";
    std::string body;
    bool stream = false;
    bool requires_usage = true; ///< The answer must report token usage.
};

class answer_log;

/** The request repeats another one, and its reader continues with that log. */
struct join_log
{
    std::shared_ptr<answer_log> original;
};

/** The request is relayed to another VM, which answers it. */
struct relay_to_peer
{
    std::string address;
    std::uint16_t port = 0;
};

/** The bytes of an answer beyond the offset that a reader asked for. */
struct answer_part
{
    unsigned status = 200;
    std::string content_type;
    std::string bytes;
    bool finished = false; ///< No bytes follow.
};

/** Result of reading a log: more of the answer, or what replaces it. */
using log_read_result = std::variant<answer_part, refuse_request, issue_key,
                                     join_log, relay_to_peer>;

/**
 * Stores a request and its answer while an attempt appends to it. The caller
 * and callers that repeat the request read it, each at its own speed. The end
 * of the answer is held back until finish().
 */
class answer_log
{
public:
    /** @param max_bytes Size limit of the appended answer, in bytes. */
    answer_log(upstream_request request, std::size_t max_bytes);

    /** @return The request. Safe to read without the lock: it is constant. */
    [[nodiscard]] const upstream_request& request() const { return request_; }

    /** Sets status and content type; called before the first append(). */
    void start(unsigned status, const std::string& content_type);
    /**
     * Appends bytes of the answer.
     * @return False, and nothing appended, if the answer would exceed its
     *         size limit.
     */
    bool append(const std::string& bytes);
    /** Stores the end of the answer; readers get it after finish(). */
    void hold_end(std::string bytes);
    /** Releases the held-back end to readers and completes the answer. */
    void finish();
    /** Ends the log with a refusal, a key or a redirection. */
    void end_without_answer(log_read_result result);

    /**
     * Suspends the fiber until the log has more bytes or has ended.
     * @param offset Bytes of the answer that the reader already has.
     */
    log_read_result wait_for_more(std::size_t offset);
    /** @return Bytes of the answer, its held-back end and the request body. */
    [[nodiscard]] std::size_t size() const;

private:
    const upstream_request request_;
    const std::size_t max_bytes_;
    mutable std::mutex mutex_;
    boost::fibers::condition_variable_any changed_;
    unsigned status_ = 200;
    std::string content_type_;
    std::string bytes_;
    std::string held_end_;
    bool finished_ = false;
    std::optional<log_read_result> final_result_;
};

} // namespace rosemarydeck
