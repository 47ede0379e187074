/** @file attempt_base.hpp One attempt at a backend server. */
#pragma once

#include "core/action_type.hpp"
#include "core/event_type.hpp"
#include "web/answer_log_base.hpp"
#include "web/http_client_base.hpp"
#include "web/sse_func.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace rosemarydeck
{

/** Limits of an attempt. */
struct attempt_options
{
    std::chrono::milliseconds connect_timeout{1000};
    /** Time limit for one step: to send the request, or to read the header,
     *  the next bytes of a stream, or a whole answer that is not streamed. */
    std::chrono::milliseconds operation_timeout{30000};
    /** Size limit of an answer that is not streamed. The answer log bounds
     *  streams. */
    std::size_t max_answer_bytes = 0;
};

/**
 * Sends a request to a backend server and writes its answer to the log. A
 * stream is appended as it arrives, and its end is held back in the log. An
 * answer that is not streamed is held back whole.
 */
class attempt_runner
{
public:
    /** @param send_event Passes an event to the decision core. */
    attempt_runner(boost::asio::io_context& context, attempt_options options,
                   std::function<void(core_event)> send_event);

    /**
     * Runs one attempt in the calling fiber and reports its end to the core.
     */
    void run(const dispatch_attempt& dispatch,
             const std::shared_ptr<answer_log>& log);

private:
    struct progress
    {
        token_count delivered = 0; ///< Tokens logged by all attempts.
        bool first_token_reported = false;
        std::optional<token_usage> usage;
        std::string held_end; ///< End of the answer, held back in the log.
        bool done = false;    ///< The end of the answer has been read.
        std::optional<attempt_failure> failure;
    };

    std::unique_ptr<http_connection> open(const dispatch_attempt& dispatch);
    void read_answer(http_connection& connection,
                     const dispatch_attempt& dispatch, answer_log& log,
                     progress& state);
    void read_stream(http_connection& connection,
                     const dispatch_attempt& dispatch, answer_log& log,
                     progress& state);
    void read_full_answer(http_connection& connection,
                          const dispatch_attempt& dispatch, answer_log& log,
                          progress& state);
    void append_events(const std::vector<chat_event>& events,
                       const dispatch_attempt& dispatch, answer_log& log,
                       progress& state);
    void report_failure(const dispatch_attempt& dispatch,
                        attempt_failure failure, token_count delivered);
    void report_first_token(const dispatch_attempt& dispatch, progress& state);

    boost::asio::io_context& context_;
    attempt_options options_;
    std::function<void(core_event)> send_event_;
    http_client client_;
};

} // namespace rosemarydeck
