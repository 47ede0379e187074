/** @file daemon_operator.cpp The daemon's interface for operators, and its
 *  logging. */
#include "daemon/daemon_base.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

template <class Value>
Value daemon::run_on_control_thread(std::function<Value()> query)
{
    // Shared, because put() may still be running when take() returns.
    const auto slot = std::make_shared<fiber_slot<Value>>();
    boost::asio::post(context_,
                      [query = std::move(query), slot] { slot->put(query()); });
    return slot->take();
}

control_interface daemon::make_control_interface()
{
    control_interface control;
    control.tell = [this](core_event event) { post_event(std::move(event)); };
    control.status = [this] {
        return run_on_control_thread<std::string>(
            [this] { return status_text(); });
    };
    control.metrics = [this] {
        return run_on_control_thread<std::string>(
            [this] { return metrics_text(); });
    };
    control.timeline = [this](const timeline_filter& filter) {
        return run_on_control_thread<std::string>(
            [this, filter] { return timeline_text(filter); });
    };
    control.platform = [this](const platform_request& request) {
        return operator_call(request);
    };
    control.ready = [this] { return ready_.load(); };
    control.stopping = [this] { return draining_.load(); };
    return control;
}

std::string daemon::status_text()
{
    return nlohmann::json(core_->status()).dump();
}

std::string daemon::timeline_text(const timeline_filter& filter)
{
    return nlohmann::json(timeline_.select(filter)).dump();
}

std::string daemon::metrics_text()
{
    const auto status = core_->status();
    auto text = metrics_.expose();
    const auto add_gauge = [&](const std::string& name, std::size_t value) {
        text += "rosemarydeck_" + name + " " + std::to_string(value) + "\n";
    };
    add_gauge("open_requests", status.open_requests);
    add_gauge("unflushed_bills", status.unflushed_bills);
    add_gauge("customers", status.customers);
    add_gauge("witness_records", status.witness_records);
    add_gauge("config_revision", status.revision);
    add_gauge("live_peers", status.live.size());
    return text;
}

platform_result daemon::operator_call(const platform_request& request)
{
    const auto slot = std::make_shared<fiber_slot<platform_result>>();
    boost::asio::post(context_, [this, request, slot] {
        metrics_.count("rosemarydeck_platform_calls{kind=\"" +
                       kind_of(request) + "\"}");
        boost::fibers::fiber(boost::fibers::launch::post, [this, request,
                                                           slot] {
            slot->put(call_through(platform_, request));
        }).detach();
    });
    return slot->take();
}

void start_logging(const std::string& level)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    auto& levels = log4cplus::getLogLevelManager();
    auto upper = level;
    for (auto& character : upper)
        character = static_cast<char>(std::toupper(character));
    const auto log_level = levels.fromString(upper);
    root.setLogLevel(log_level == log4cplus::NOT_SET_LOG_LEVEL
                         ? log4cplus::INFO_LOG_LEVEL
                         : log_level);
}

void log_info(const char* component, const std::string& text)
{
    auto logger = log4cplus::Logger::getInstance(component);
    LOG4CPLUS_INFO(logger, text);
}

void log_warning(const char* component, const std::string& text)
{
    auto logger = log4cplus::Logger::getInstance(component);
    LOG4CPLUS_WARN(logger, text);
}

} // namespace rosemarydeck
