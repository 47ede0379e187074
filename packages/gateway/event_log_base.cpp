/** @file event_log_base.cpp Structured log on standard output. */
#include "gateway/event_log_base.hpp"

#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>
#include <utility>

namespace rosemarydeck
{

namespace
{

constexpr std::size_t max_buffered_bytes = 262'144;
/** Rate limit of one event name; lines of 200 bytes make 60 KB/s. */
constexpr std::uint32_t max_lines_per_second = 300;

/** @return Length of the control character or line end at a position; 0 if
 *  there is none. */
std::size_t control_length(std::string_view text, std::size_t at)
{
    const auto byte = static_cast<unsigned char>(text[at]);
    if (byte < 0x20U || byte == 0x7fU)
        return 1;
    // UTF-8 of the controls from U+0080 on, and of the line and paragraph
    // separators.
    if (byte == 0xc2U && at + 1 < text.size() &&
        static_cast<unsigned char>(text[at + 1]) < 0xa0U)
        return 2;
    const auto three = text.substr(at, 3);
    return three == "\xe2\x80\xa8" || three == "\xe2\x80\xa9" ? 3 : 0;
}

bool needs_quotes(std::string_view text)
{
    if (text.empty())
        return true;
    for (std::size_t at = 0; at < text.size(); ++at)
        if (text[at] == ' ' || text[at] == '"' || text[at] == '=' ||
            control_length(text, at) > 0)
            return true;
    return false;
}

void append_value(std::string& line, std::string_view text)
{
    if (!needs_quotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (std::size_t at = 0; at < text.size();) {
        if (const auto length = control_length(text, at); length > 0) {
            line += ' ';
            at += length;
            continue;
        }
        if (text[at] == '"' || text[at] == '\\')
            line += '\\';
        line += text[at++];
    }
    line += '"';
}

} // namespace

std::string age_text(const std::optional<time_point>& since, time_point now)
{
    return since ? std::to_string((now - *since).count() / 1'000) : "never";
}

bounded_appender::bounded_appender()
{
    const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto& text = event.getMessage();
    if (buffer_.size() + text.size() > max_buffered_bytes) {
        ++dropped_;
        return;
    }
    buffer_ += text;
    buffer_ += '\n';
}

void bounded_appender::flush()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (buffer_.empty())
        return;
    const auto written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0)
        buffer_.erase(0, static_cast<std::size_t>(written));
}

std::uint64_t bounded_appender::take_dropped()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(dropped_, 0);
}

event_log::event_log(std::string vm, const std::string& level)
    : vm_(std::move(vm))
{
    static log4cplus::Initializer initializer;
    auto owned = std::make_unique<bounded_appender>();
    appender_ = owned.get();
    appender_owner_ = log4cplus::SharedAppenderPtr(owned.release());
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender_owner_);
    root.setLogLevel(level == "error" ? log4cplus::ERROR_LOG_LEVEL
                                      : log4cplus::INFO_LOG_LEVEL);
}

bool event_log::admit(std::string_view event)
{
    const auto now = clock_.now();
    const std::lock_guard<std::mutex> lock(mutex_);
    auto found = rates_.find(event);
    if (found == rates_.end())
        found = rates_.emplace(std::string(event), line_rate{}).first;
    auto& rate = found->second;
    if (now - rate.period_start >= std::chrono::seconds(1)) {
        rate.period_start = now;
        rate.lines = 0;
    }
    if (++rate.lines <= max_lines_per_second)
        return true;
    ++rate.dropped;
    return false;
}

void event_log::write(std::string_view event,
                      std::initializer_list<log_field> fields)
{
    if (!admit(event))
        return;
    const auto now = to_microseconds(clock_.now());
    std::string line = "t=" + std::to_string(now / 1'000) + " vm=" + vm_ +
                       " event=" + std::string(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    static const auto logger = log4cplus::Logger::getInstance("gateway");
    logger.log(log4cplus::INFO_LOG_LEVEL, line);
}

void event_log::flush()
{
    std::string dropped;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [event, rate] : rates_)
            if (rate.dropped > 0)
                dropped += (dropped.empty() ? "" : ",") + event + ":" +
                           std::to_string(std::exchange(rate.dropped, 0));
    }
    const auto buffer_dropped = appender_->take_dropped();
    if (buffer_dropped > 0)
        dropped += (dropped.empty() ? "" : ",") + std::string("buffer:") +
                   std::to_string(buffer_dropped);
    if (!dropped.empty())
        write("log_dropped", {{"lines", dropped}});
    appender_->flush();
}

} // namespace rosemarydeck
