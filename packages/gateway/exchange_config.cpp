/** @file exchange_config.cpp What the configuration says of a request. */
#include "gateway/exchange_base.hpp"

#include "router/sync_interval_func.hpp"
#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

/** Longest wait for the word of the store or of another VM on the
 *  configuration. */
constexpr auto config_check_timeout = milliseconds(1'500);
constexpr auto config_check_poll_interval = milliseconds(10);
/** Retry-After while it is unknown whether a newer version allows a request.
 *  Other VMs may know. */
constexpr auto retry_after_unconfirmed = milliseconds(500);
/** Retry-After for what a part of the configuration decides that can't be read.
 *  Only the next version changes that. */
constexpr auto retry_after_unreadable = milliseconds(10'000);

} // namespace

exchange::rule_match exchange::match_rules()
{
    const auto& config = config_->config();
    customer_ = nullptr;
    route_ = config_->route(request_head_.host, request_head_.target);
    if (route_ == nullptr)
        return config.routes_complete ? rule_match::none
                                      : rule_match::unreadable;
    if (!route_->readable)
        return rule_match::unreadable;
    if (!route_->needs_key ||
        (config.customers.empty() && config.customers_complete))
        return rule_match::found;
    customer_ = config_->customer_of(request_head_.key);
    if (customer_ == nullptr)
        return config.customers_complete ? rule_match::none
                                         : rule_match::unreadable;
    return customer_->readable ? rule_match::found : rule_match::unreadable;
}

bool exchange::find_rules()
{
    if (match_rules() == rule_match::found)
        return true;
    if (!confirm_config()) {
        refuse(503, counter::refused_unconfirmed, "configuration_unconfirmed",
               retry_after_unconfirmed);
        return false;
    }
    // Confirming may have brought a newer version.
    switch (match_rules()) {
    case rule_match::found:
        return true;
    case rule_match::unreadable:
        refuse(503, counter::refused_unconfirmed, "configuration_unreadable",
               retry_after_unreadable);
        return false;
    default:
        return route_ == nullptr
                   ? deny(404, counter::refused_no_route, "no_route")
                   : deny(401, counter::refused_unauthorized, "unknown_key");
    }
}

bool exchange::confirm_config()
{
    if (context_.knowledge.may_deny(config_version(),
                                    max_denial_age(context_.settings.bounds),
                                    context_.confirmation_clock.now()))
        return true;
    const auto check = std::make_shared<config_check>();
    context_.control.check_config(check);
    const auto deadline = context_.clock.now() + duration(config_check_timeout);
    // A newer version reaches this thread a moment after the answer.
    const auto settled = [&] {
        if (!check->done)
            return false;
        view_ = context_.view;
        return !check->confirmed_version ||
               config_version() >= *check->confirmed_version;
    };
    while (!settled() && context_.clock.now() < deadline && !client_.closed())
        fiber_sleep(context_.io, config_check_poll_interval);
    config_ = view_->config;
    return check->done && check->confirmed_version &&
           config_version() >= *check->confirmed_version;
}

} // namespace rosemarydeck
