/** @file client_list_cmd.cpp Commands on lists, budgets and bills. */
#include "client/client_cmd.hpp"

#include "budget/account_cmd.hpp"
#include "client/client_call_func.hpp"
#include "client/client_table_func.hpp"
#include "config/config_check_func.hpp"
#include "request/bill_type.hpp"

#include <charconv>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace rosemarydeck
{

namespace
{

constexpr int max_tries = 5;

void print(const std::string& text)
{
    std::fputs(text.c_str(), stdout);
}

/** One of the two lists that operators edit. */
struct list_kind
{
    const std::string& prefix;
    expected<std::string> (*customer_in)(const std::string& text);
};

expected<std::string> plan_customer(const std::string& text)
{
    const auto plan = parse_plan(text);
    if (!plan)
        return tl::unexpected(plan.error());
    return plan->customer.value();
}

expected<std::string> allowance_customer(const std::string& text)
{
    const auto list = parse_allowance(text);
    if (!list)
        return tl::unexpected(list.error());
    return list->customer.value();
}

const list_kind plans{plans_prefix, plan_customer};
const list_kind allowances{allowances_prefix, allowance_customer};

client_exit show_list(const client_options& options, const list_kind& kind)
{
    const auto found = call_platform_via(options, list_objects{kind.prefix});
    if (!found)
        return report(found.error());
    if (options.json) {
        print(nlohmann::json(found->objects).dump(2) + "\n");
        return client_exit::done;
    }
    std::vector<table_row> rows;
    for (const auto& object : found->objects)
        rows.push_back({object.name.substr(kind.prefix.size()),
                        std::to_string(object.version), object.value});
    print(format_table({"CUSTOMER", "VERSION", "CONTENT"}, rows));
    return client_exit::done;
}

client_exit show_entry(const client_options& options, const list_kind& kind,
                       const std::string& customer)
{
    const auto found =
        call_platform_via(options, get_object{kind.prefix + customer});
    if (!found)
        return report(found.error());
    const auto& object = found->objects.front();
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    print(json.dump(2) + "\n");
    std::fprintf(stderr, "version %llu\n",
                 static_cast<unsigned long long>(object.version));
    return client_exit::done;
}

client_exit report_conflict(const std::string& customer)
{
    return report({error_code::conflict, "write list", customer,
                   "somebody else has changed it; get it again, repeat the "
                   "edit and set it with the new version"});
}

/** Writes an entry: with a version only over that one, else over any. */
client_exit write_entry(const client_options& options, const list_kind& kind,
                        const std::string& text, object_version version)
{
    const auto customer = kind.customer_in(text);
    if (!customer)
        return report(customer.error());
    const auto name = kind.prefix + *customer;
    auto expected_version = version;
    if (version == 0) {
        const auto known = call_platform_via(options, get_object{name});
        if (known)
            expected_version = known->objects.front().version;
        else if (known.error().code != error_code::not_found)
            return report(known.error());
    }
    const auto written =
        expected_version == 0
            ? call_platform_via(options, create_object{name, text})
            : call_platform_via(options,
                                update_object{name, expected_version, text});
    if (written) {
        print(*customer + " version " +
              std::to_string(written->objects.front().version) + "\n");
        return client_exit::done;
    }
    const auto code = written.error().code;
    if (code == error_code::conflict || code == error_code::already_exists)
        return report_conflict(*customer);
    return report(written.error());
}

client_exit delete_entry(const client_options& options, const list_kind& kind,
                         const std::string& customer)
{
    const auto name = kind.prefix + customer;
    const auto known = call_platform_via(options, get_object{name});
    if (!known)
        return report(known.error());
    const auto gone = call_platform_via(
        options, delete_object{name, known->objects.front().version});
    if (gone)
        return client_exit::done;
    if (gone.error().code == error_code::conflict)
        return report_conflict(customer);
    return report(gone.error());
}

bool read_number(const std::string& text, std::int64_t& into)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, into);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

client_exit run_list(const client_options& options, const list_kind& kind,
                     const command_words& words)
{
    if (words.size() == 1 && words[0] == "list")
        return show_list(options, kind);
    if (words.size() == 2 && words[0] == "get")
        return show_entry(options, kind, words[1]);
    if (words.size() == 2 && words[0] == "delete")
        return delete_entry(options, kind, words[1]);
    if ((words.size() != 2 && words.size() != 3) || words[0] != "set")
        return client_exit::usage;
    std::int64_t version = 0;
    if (words.size() == 3 && (!read_number(words[2], version) || version < 1))
        return client_exit::usage;
    std::ifstream file(words[1]);
    if (!file)
        return report(
            {error_code::not_found, "read file", words[1], "cannot be opened"});
    std::ostringstream text;
    text << file.rdbuf();
    return write_entry(options, kind, text.str(),
                       static_cast<object_version>(version));
}

expected<account> account_of(const client_options& options,
                             const std::string& customer,
                             object_version& version)
{
    const auto found =
        call_platform_via(options, get_object{accounts_prefix + customer});
    if (!found)
        return tl::unexpected(found.error());
    version = found->objects.front().version;
    return parse_account(found->objects.front().value);
}

} // namespace

client_exit run_plans(const client_options& options, const command_words& words)
{
    return run_list(options, plans, words);
}

client_exit run_allowances(const client_options& options,
                           const command_words& words)
{
    return run_list(options, allowances, words);
}

client_exit run_topup(const client_options& options, const command_words& words)
{
    std::int64_t tokens = 0;
    if (words.size() != 2 || !read_number(words[1], tokens) || tokens < 1)
        return client_exit::usage;
    const auto name = plans_prefix + words[0];
    for (int tries = 0; tries < max_tries; ++tries) {
        const auto known = call_platform_via(options, get_object{name});
        if (!known)
            return report(known.error());
        const auto& object = known->objects.front();
        auto plan = parse_plan(object.value);
        if (!plan)
            return report(plan.error());
        plan->prepaid += tokens;
        const auto written = call_platform_via(
            options,
            update_object{name, object.version, nlohmann::json(*plan).dump()});
        if (written) {
            print(words[0] + " prepaid " + std::to_string(plan->prepaid) +
                  "\n");
            return client_exit::done;
        }
        // A lost answer must not lead to a second top-up.
        if (written.error().code != error_code::conflict)
            return report(written.error());
    }
    return report_conflict(words[0]);
}

client_exit run_release(const client_options& options,
                        const command_words& words)
{
    if (words.size() != 1)
        return client_exit::usage;
    object_version version = 0;
    auto value = account_of(options, words[0], version);
    if (!value)
        return report(value.error());
    const auto released = std::exchange(value->unproven, 0);
    const auto written = call_platform_via(
        options, update_object{accounts_prefix + words[0], version,
                               nlohmann::json(*value).dump()});
    if (!written)
        return written.error().code == error_code::conflict
                   ? report_conflict(words[0])
                   : report(written.error());
    print(words[0] + " released " + std::to_string(released) + "\n");
    return client_exit::done;
}

client_exit run_spend(const client_options& options, const command_words& words)
{
    if (words.size() > 1)
        return client_exit::usage;
    const auto wanted = words.empty() ? std::string() : words[0];
    const auto found =
        call_platform_via(options, list_objects{accounts_prefix + wanted});
    if (!found)
        return report(found.error());
    if (options.json) {
        print(nlohmann::json(found->objects).dump(2) + "\n");
        return client_exit::done;
    }
    std::vector<table_row> rows;
    for (const auto& object : found->objects) {
        const auto value = parse_account(object.value);
        if (!value)
            return report(value.error());
        token_count granted = 0;
        for (const auto& grant : value->grants)
            granted += grant.amount;
        rows.push_back({value->customer.value(), std::to_string(value->prepaid),
                        std::to_string(value->settled), std::to_string(granted),
                        std::to_string(value->unproven),
                        std::to_string(unassigned(*value))});
    }
    print(format_table(
        {"CUSTOMER", "PREPAID", "SETTLED", "GRANTED", "UNPROVEN", "UNASSIGNED"},
        rows));
    return client_exit::done;
}

client_exit run_bills(const client_options& options, const command_words& words)
{
    if (words.size() != 1)
        return client_exit::usage;
    const auto found =
        call_platform_via(options, list_objects{bill_object_prefix});
    if (!found)
        return report(found.error());
    // A bill's identity is its key: one that an heir stored once more counts
    // once.
    std::map<idempotency_key, bill> bills;
    for (const auto& object : found->objects) {
        const auto batch = parse_bill_batch(object.value);
        for (const auto& entry : batch.bills)
            if (entry.customer.value() == words[0] && !entry.reversal)
                bills.emplace(entry.key, entry);
    }
    if (options.json) {
        print(nlohmann::json(bills).dump(2) + "\n");
        return client_exit::done;
    }
    std::vector<table_row> rows;
    token_count sum = 0;
    for (const auto& [key, entry] : bills) {
        rows.push_back({key.value(), entry.target.value(),
                        std::string(name_of(entry.rank)),
                        std::to_string(entry.usage.prompt),
                        std::to_string(entry.usage.completion),
                        std::to_string(entry.charged),
                        std::to_string(entry.refunded),
                        std::to_string(entry.timing.first_token_ms)});
        sum += entry.net();
    }
    print(format_table({"REQUEST", "TARGET", "PRIORITY", "PROMPT", "COMPLETION",
                        "CHARGED", "REFUNDED", "FIRST MS"},
                       rows));
    print("sum " + std::to_string(sum) + "\n");
    return client_exit::done;
}

} // namespace rosemarydeck
