/** @file answer_log_base.hpp One request and the answer as it grows. */
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

/** A caller's request as it goes on to a backend server. */
struct upstream_request
{
    std::string method = "POST";
    std::string path;
    std::string content_type = "application/json";
    std::string body;
    bool stream = false;
    bool count_usage = true; ///< Chat answers carry their usage.
};

class answer_log;

/** The answer is that of another request. */
struct follow_log
{
    std::shared_ptr<answer_log> original;
};

/** The caller is to be served through another VM. */
struct follow_peer
{
    std::string address;
    std::uint16_t port = 0;
};

/** More of the answer, from where the reader stood. */
struct answer_part
{
    unsigned status = 200;
    std::string content_type;
    std::string bytes;
    bool finished = false;
};

/** What a reader of a log finds next. */
using log_step = std::variant<answer_part, refuse_request, issue_key,
                              follow_log, follow_peer>;

/**
 * Grows while an attempt runs, read at any pace by the caller and by those
 * who repeat the request. The end is held back until it may be sent.
 */
class answer_log
{
public:
    /** @param max_bytes Largest answer that is taken. */
    answer_log(upstream_request request, std::size_t max_bytes);

    /** @return The request; never changes. */
    [[nodiscard]] const upstream_request& request() const { return request_; }

    /** Sets status and content type, before the first bytes. */
    void start(unsigned status, const std::string& content_type);
    /** @return False if the answer has become too large. */
    bool append(const std::string& bytes);
    /** Keeps the answer's end until finish(). */
    void hold_end(std::string bytes);
    /** Lets the end go out. */
    void finish();
    /** Ends the log otherwise than by an answer. */
    void divert(log_step step);

    /**
     * Waits for something beyond what the reader has.
     * @param from Bytes that the reader has.
     */
    log_step wait(std::size_t from);
    /** @return Bytes kept. */
    [[nodiscard]] std::size_t size() const;

private:
    const upstream_request request_;
    const std::size_t max_bytes_;
    mutable std::mutex mutex_;
    boost::fibers::condition_variable_any changed_;
    unsigned status_ = 200;
    std::string content_type_;
    std::string bytes_;
    std::string end_;
    bool finished_ = false;
    std::optional<log_step> diverted_;
};

} // namespace rosemarydeck
