/** @file event_log_base.hpp Structured log on standard output. */
#pragma once

#include "common/time_type.hpp"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <log4cplus/appender.h>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace rosemarydeck
{

/** Name and value of one field of a log line. */
struct log_field
{
    std::string_view name;
    std::string value;

    log_field(std::string_view key, std::string text)
        : name(key), value(std::move(text))
    {
    }
    log_field(std::string_view key, std::string_view text)
        : name(key), value(text)
    {
    }
    log_field(std::string_view key, const char* text) : name(key), value(text)
    {
    }
    template <class Number>
    requires std::is_arithmetic_v<Number> log_field(std::string_view key,
                                                    Number number)
        : name(key), value(std::to_string(number))
    {
    }
    log_field(std::string_view key, std::chrono::microseconds span)
        : name(key), value(std::to_string(span.count() / 1'000))
    {
    }
};

/** @return Milliseconds since a time, or "never". */
std::string age_text(const std::optional<time_point>& since, time_point now);

/** Buffers a bounded number of bytes until standard output takes them. */
class bounded_appender : public log4cplus::Appender
{
public:
    bounded_appender();
    ~bounded_appender() override;

    void close() override {}
    /** Writes as much as standard output takes without blocking. */
    void flush();
    /** @return Lines dropped since the last call because the buffer was full.
     */
    std::uint64_t take_dropped();

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::mutex mutex_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
};

/**
 * Writes one line for each event: event=NAME and fields as name=value. Lines
 * of one event name are rate-limited; dropped lines are counted and reported.
 * Never blocks. Usable from any thread.
 */
class event_log
{
public:
    /** @param level Lowest level to log. Events have level info: "error"
     *         suppresses all of them, any other value none. */
    explicit event_log(std::string vm, const std::string& level = "info");

    /** Writes a line, or drops it if the event's rate limit is reached. */
    void write(std::string_view event, std::initializer_list<log_field> fields);
    /** Writes buffered lines and reports dropped ones. Must be called
     *  regularly. */
    void flush();

private:
    /** Line counts of one event name. */
    struct line_rate
    {
        time_point period_start{}; ///< Start of the current second.
        std::uint32_t lines = 0;   ///< Lines in the current second.
        std::uint64_t dropped = 0; ///< Lines dropped since the last report.
    };

    bool admit(std::string_view event);

    std::string vm_;
    runtime_clock clock_;
    std::mutex mutex_;
    std::map<std::string, line_rate, std::less<>> rates_;
    log4cplus::SharedAppenderPtr appender_owner_;
    bounded_appender* appender_ = nullptr;
};

} // namespace rosemarydeck
