/** @file config_check_func.cpp Parsing and validation of configuration. */
#include "config/config_check_func.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

constexpr std::int64_t max_weight = 1000;
constexpr token_count max_prepaid_tokens = 1'000'000'000'000'000;
constexpr std::int64_t max_refund_percent = 100;

template <class Value>
expected<Value> parse(const std::string& text, const std::string& step)
{
    try {
        return nlohmann::json::parse(text).get<Value>();
    }
    catch (const nlohmann::json::exception& fault) {
        return tl::unexpected(
            error{error_code::invalid_input, step, "", fault.what()});
    }
}

/** Collects the faults of a value into one error text. */
class fault_list
{
public:
    void require(bool holds, const std::string& text)
    {
        if (!holds)
            text_ += (text_.empty() ? "" : "; ") + text;
    }

    template <class Value>
    expected<Value> result(Value value, const std::string& step) const
    {
        if (text_.empty())
            return value;
        return tl::unexpected(
            error{error_code::invalid_input, step, "", text_});
    }

private:
    std::string text_;
};

} // namespace

expected<customer_plan> parse_plan(const std::string& text)
{
    const std::string step = "check plan";
    auto plan = parse<customer_plan>(text, step);
    if (!plan)
        return plan;
    fault_list faults;
    faults.require(!plan->customer.empty(), "customer is missing");
    faults.require(plan->customer.value().find('/') == std::string::npos,
                   "customer must not contain a slash");
    faults.require(plan->prepaid >= 0 && plan->prepaid <= max_prepaid_tokens,
                   "prepaid must be from 0 to 10^15 tokens");
    faults.require(plan->weight >= 1 && plan->weight <= max_weight,
                   "weight must be from 1 to 1000");
    faults.require(std::none_of(plan->api_keys.begin(), plan->api_keys.end(),
                                [](const auto& key) { return key.empty(); }),
                   "api_keys contains an empty key");
    for (const auto& target : plan->targets) {
        faults.require(target.first_token_ms > 0 && target.token_gap_ms > 0 &&
                           target.whole_answer_ms > 0,
                       "every ..._ms value of a target must be above zero");
        faults.require(target.refund_percent >= 0 &&
                           target.refund_percent <= max_refund_percent,
                       "refund_percent of a target must be from 0 to 100");
    }
    return faults.result(*plan, step);
}

expected<allowance> parse_allowance(const std::string& text)
{
    const std::string step = "check allowance";
    auto entry = parse<allowance>(text, step);
    if (!entry)
        return entry;
    fault_list faults;
    faults.require(!entry->customer.empty(), "customer is missing");
    faults.require(entry->max_concurrent >= 0,
                   "max_concurrent must not be below zero");
    faults.require(entry->requests_per_minute >= 0,
                   "requests_per_minute must not be below zero");
    faults.require(entry->max_tokens >= 0, "max_tokens must not be below zero");
    return faults.result(*entry, step);
}

expected<server_entry> parse_server(const std::string& text)
{
    const std::string step = "check server";
    auto entry = parse<server_entry>(text, step);
    if (!entry)
        return entry;
    fault_list faults;
    faults.require(!entry->server.empty(), "server is missing");
    faults.require(entry->slots > 0, "slots must be above zero");
    faults.require(entry->port != 0, "port is missing or 0");
    return faults.result(*entry, step);
}

expected<vm_entry> parse_vm(const std::string& text)
{
    const std::string step = "check VM";
    auto entry = parse<vm_entry>(text, step);
    if (!entry)
        return entry;
    fault_list faults;
    faults.require(!entry->vm.empty(), "vm is missing");
    faults.require(!entry->data_centre.empty(), "data_centre is missing");
    return faults.result(*entry, step);
}

} // namespace rosemarydeck
