/** @file attempt_base.hpp Runs one attempt at a backend server. */
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

/** Settings of attempts. */
struct attempt_options
{
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds silence{30000};
    std::size_t max_answer_bytes = 0;
};

/**
 * Sends a request to a backend server and writes its answer to the log, at
 * the server's pace. The answer's end stays held back in the log.
 */
class attempt_runner
{
public:
    /** @param tell Takes events for the decision core. */
    attempt_runner(boost::asio::io_context& context, attempt_options options,
                   std::function<void(core_event)> tell);

    /** Runs in the calling fiber until the attempt has ended. */
    void run(const dispatch_attempt& order,
             const std::shared_ptr<answer_log>& log);

private:
    struct progress
    {
        token_count delivered = 0;
        bool first_told = false;
        std::optional<token_usage> usage;
        std::string end;
        bool done = false;
        std::optional<attempt_failure> failure;
    };

    std::unique_ptr<http_connection> open(const dispatch_attempt& order);
    void read_answer(http_connection& connection, const dispatch_attempt& order,
                     answer_log& log, progress& state);
    void read_stream(http_connection& connection, const dispatch_attempt& order,
                     answer_log& log, progress& state);
    void read_whole(http_connection& connection, const dispatch_attempt& order,
                    answer_log& log, progress& state);
    void take_events(const std::vector<chat_event>& events,
                     const dispatch_attempt& order, answer_log& log,
                     progress& state);
    void fail(const dispatch_attempt& order, attempt_failure failure,
              token_count delivered);
    void tell_first(const dispatch_attempt& order, progress& state);

    boost::asio::io_context& context_;
    attempt_options options_;
    std::function<void(core_event)> tell_;
    http_client client_;
};

} // namespace rosemarydeck
