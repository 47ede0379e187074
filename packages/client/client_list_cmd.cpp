/** @file client_list_cmd.cpp Commands on plans, allowances, budgets and
 *  bills. */
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

constexpr int max_write_attempts = 5;

void print(const std::string& text)
{
    std::fputs(text.c_str(), stdout);
}

/** One of the object lists that operators edit: plans or allowances. */
struct list_kind
{
    const std::string& prefix; ///< Prefix of the names of the objects.
    /** Parses an entry. @return Its customer. */
    expected<std::string> (*parse_customer)(const std::string& text);
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
    const auto allowance = parse_allowance(text);
    if (!allowance)
        return tl::unexpected(allowance.error());
    return allowance->customer.value();
}

const list_kind plans{plans_prefix, plan_customer};
const list_kind allowances{allowances_prefix, allowance_customer};

client_exit show_list(const client_options& options, const list_kind& kind)
{
    const auto found = call_platform_via(options, list_objects{kind.prefix});
    if (!found)
        return print_error(found.error());
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
        return print_error(found.error());
    const auto& object = found->objects.front();
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    print(json.dump(2) + "\n");
    std::fprintf(stderr, "version %llu\n",
                 static_cast<unsigned long long>(object.version));
    return client_exit::done;
}

client_exit print_conflict(const std::string& customer)
{
    return print_error(
        {error_code::conflict, "write entry", customer,
         "another writer changed the entry in the meantime; read it again and "
         "repeat the command"});
}

/**
 * Creates or replaces an entry.
 * @param version Version that must be in force; 0 replaces any version.
 */
client_exit write_entry(const client_options& options, const list_kind& kind,
                        const std::string& text, object_version version)
{
    const auto customer = kind.parse_customer(text);
    if (!customer)
        return print_error(customer.error());
    const auto name = kind.prefix + *customer;
    auto expected_version = version;
    if (version == 0) {
        const auto current = call_platform_via(options, get_object{name});
        if (current)
            expected_version = current->objects.front().version;
        else if (current.error().code != error_code::not_found)
            return print_error(current.error());
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
        return print_conflict(*customer);
    return print_error(written.error());
}

client_exit delete_entry(const client_options& options, const list_kind& kind,
                         const std::string& customer)
{
    const auto name = kind.prefix + customer;
    const auto current = call_platform_via(options, get_object{name});
    if (!current)
        return print_error(current.error());
    const auto deleted = call_platform_via(
        options, delete_object{name, current->objects.front().version});
    if (deleted)
        return client_exit::done;
    if (deleted.error().code == error_code::conflict)
        return print_conflict(customer);
    return print_error(deleted.error());
}

bool parse_number(const std::string& text, std::int64_t& output)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, output);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

client_exit run_list(const client_options& options, const list_kind& kind,
                     const command_arguments& arguments)
{
    if (arguments.size() == 1 && arguments[0] == "list")
        return show_list(options, kind);
    if (arguments.size() == 2 && arguments[0] == "get")
        return show_entry(options, kind, arguments[1]);
    if (arguments.size() == 2 && arguments[0] == "delete")
        return delete_entry(options, kind, arguments[1]);
    if ((arguments.size() != 2 && arguments.size() != 3) ||
        arguments[0] != "set")
        return client_exit::usage;
    std::int64_t version = 0;
    if (arguments.size() == 3 &&
        (!parse_number(arguments[2], version) || version < 1))
        return client_exit::usage;
    std::ifstream file(arguments[1]);
    if (!file)
        return print_error({error_code::not_found, "read file", arguments[1],
                            "the file cannot be opened"});
    std::ostringstream text;
    text << file.rdbuf();
    return write_entry(options, kind, text.str(),
                       static_cast<object_version>(version));
}

expected<account> read_account(const client_options& options,
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

client_exit run_plans(const client_options& options,
                      const command_arguments& arguments)
{
    return run_list(options, plans, arguments);
}

client_exit run_allowances(const client_options& options,
                           const command_arguments& arguments)
{
    return run_list(options, allowances, arguments);
}

client_exit run_topup(const client_options& options,
                      const command_arguments& arguments)
{
    std::int64_t tokens = 0;
    if (arguments.size() != 2 || !parse_number(arguments[1], tokens) ||
        tokens < 1)
        return client_exit::usage;
    const auto name = plans_prefix + arguments[0];
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        const auto current = call_platform_via(options, get_object{name});
        if (!current)
            return print_error(current.error());
        const auto& object = current->objects.front();
        auto plan = parse_plan(object.value);
        if (!plan)
            return print_error(plan.error());
        plan->prepaid += tokens;
        const auto written = call_platform_via(
            options,
            update_object{name, object.version, nlohmann::json(*plan).dump()});
        if (written) {
            print(arguments[0] + " prepaid " + std::to_string(plan->prepaid) +
                  "\n");
            return client_exit::done;
        }
        // Only conflicts are retried: after a lost answer the top-up may
        // already be in force.
        if (written.error().code != error_code::conflict)
            return print_error(written.error());
    }
    return print_conflict(arguments[0]);
}

client_exit run_release(const client_options& options,
                        const command_arguments& arguments)
{
    if (arguments.size() != 1)
        return client_exit::usage;
    object_version version = 0;
    auto value = read_account(options, arguments[0], version);
    if (!value)
        return print_error(value.error());
    const auto released = std::exchange(value->unproven, 0);
    const auto written = call_platform_via(
        options, update_object{accounts_prefix + arguments[0], version,
                               nlohmann::json(*value).dump()});
    if (!written)
        return written.error().code == error_code::conflict
                   ? print_conflict(arguments[0])
                   : print_error(written.error());
    print(arguments[0] + " released " + std::to_string(released) + "\n");
    return client_exit::done;
}

client_exit run_spend(const client_options& options,
                      const command_arguments& arguments)
{
    if (arguments.size() > 1)
        return client_exit::usage;
    const auto customer = arguments.empty() ? std::string() : arguments[0];
    const auto found =
        call_platform_via(options, list_objects{accounts_prefix + customer});
    if (!found)
        return print_error(found.error());
    if (options.json) {
        print(nlohmann::json(found->objects).dump(2) + "\n");
        return client_exit::done;
    }
    std::vector<table_row> rows;
    for (const auto& object : found->objects) {
        const auto value = parse_account(object.value);
        if (!value)
            return print_error(value.error());
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

client_exit run_bills(const client_options& options,
                      const command_arguments& arguments)
{
    if (arguments.size() != 1)
        return client_exit::usage;
    const auto found =
        call_platform_via(options, list_objects{bill_object_prefix});
    if (!found)
        return print_error(found.error());
    // Bills are identified by their key. The VM that takes over a lost VM's
    // customers may store a bill again: it counts once, and the reversal of the
    // second charge is left out.
    std::map<idempotency_key, bill> bills;
    for (const auto& object : found->objects) {
        const auto batch = parse_bill_batch(object.value);
        for (const auto& entry : batch.bills)
            if (entry.customer.value() == arguments[0] && !entry.reversal)
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
