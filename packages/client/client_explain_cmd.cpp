/** @file client_explain_cmd.cpp Explains a request's outcome from VMs' logs. */
#include "client/client_cmd.hpp"
#include "client/log_line_type.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>

namespace rosemarydeck
{

namespace
{

/** Look-back window before the start of a request in which changes of its VM's
 *  state are shown. */
constexpr std::int64_t context_window_ms = 5'000;
/** Shorter look-back window for renewals of budgets, which are frequent. */
constexpr std::int64_t renewal_window_ms = 600;

/** Meaning of a request's outcome, in words. */
struct outcome_row
{
    std::string_view outcome;
    std::string_view meaning;
};

constexpr std::array outcome_rows{
    outcome_row{"served", "the client received the complete answer"},
    outcome_row{"budget_spent",
                "the customer's prepaid budget does not cover the request; "
                "top it up"},
    outcome_row{"no_headroom",
                "this VM held too little of the customer's budget and did not "
                "obtain more in time; see the events store_lost, "
                "budgets_renewed, credit_short and peer_silent, and "
                "credit_denied in the logs of the VMs that were asked"},
    outcome_row{"budget_kept",
                "little of the customer's prepaid budget is left, and it is "
                "kept for requests that are smaller or more urgent; top it "
                "up"},
    outcome_row{"configuration_unconfirmed",
                "no route or key here, and the store could not tell whether a "
                "newer version has it"},
    outcome_row{"configuration_unreadable",
                "the part of the configuration that decides on the request "
                "can't be read; see config_part_unreadable"},
    outcome_row{"no_configuration", "the VM had not read a configuration yet"},
    outcome_row{"no_route",
                "no route of the VM's configuration matches the request"},
    outcome_row{"unknown_key",
                "no customer of the VM's configuration has the API key"},
    outcome_row{"no_engine", "no engine of the service could be reached"},
    outcome_row{"stopping", "the VM stops before the request would have ended"},
    outcome_row{"memory_short",
                "connections held the memory that the request needs, and none "
                "of them had to yield; see the event memory_short"},
    outcome_row{"vm_full",
                "the VM handled nearly as many requests as it may, and the "
                "customer had its part of them"},
    outcome_row{"answer_too_large",
                "an engine's answer found no memory within a second"},
    outcome_row{"token_count", "the request names an invalid token count"},
    outcome_row{"engines_full",
                "engines refused the request without running it"},
    outcome_row{"engine_lost",
                "an engine was lost that may have been running the request; "
                "the request may not be repeated or its repeats are used up"},
    outcome_row{"engine_failure",
                "an engine ran the request and answered with this status"},
    outcome_row{"timed_out",
                "no complete answer came within the timeout of the route or "
                "the deadline of the client"},
    outcome_row{"stream_broken",
                "the answer's stream broke off and could not be resumed"},
    outcome_row{"client_gone",
                "the client closed its connection before the answer's end"},
    outcome_row{"relayed",
                "this VM reached no engine and passed the request on; see "
                "request_relayed, and the log of the VM that it names"},
    outcome_row{"stream_origin_unknown",
                "the client takes up a stream, and neither this VM nor the "
                "entries of the others tell at which software version it "
                "began; see stream_looked_up (read: 0 if the store could not "
                "be read)"},
    outcome_row{"crashes_engines",
                "engines went down earlier while they ran this request or "
                "others with the same part of the prompt, so it is not sent "
                "to any for now"}};

std::string_view meaning_of(const std::string& outcome)
{
    for (const auto& row : outcome_rows)
        if (row.outcome == outcome)
            return row.meaning;
    return "this version of rosemarydeck does not know this outcome";
}

/**
 * Reads the log lines of all files given after the request.
 * @return False, with an error printed, if a file can't be opened.
 */
bool read_files(const command_arguments& arguments,
                std::vector<log_line>& output)
{
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        std::ifstream file(arguments[index]);
        if (!file) {
            std::fprintf(stderr, "rosemarydeck: log file %s cannot be opened\n",
                         arguments[index].c_str());
            return false;
        }
        for (std::string text; std::getline(file, text);)
            if (auto line = parse_log_line(text))
                output.push_back(*std::move(line));
    }
    return true;
}

/** @return True if a line shows a change of the state of the request's VM that
 *  may explain the outcome. */
bool is_context(const log_line& line, const log_line& end_line,
                std::int64_t start_ms, const std::set<std::string>& engines)
{
    if (line.vm != end_line.vm || line.fields.count("req") > 0 ||
        line.time_ms < start_ms - context_window_ms ||
        line.time_ms > end_line.time_ms)
        return false;
    if (line.event == "budgets_renewed")
        return line.time_ms >= start_ms - renewal_window_ms;
    if (line.event == "engine_listed" || line.event == "engine_gone")
        return engines.count(line.field("engine")) > 0;
    return line.event != "engines_listed" || line.time_ms >= start_ms;
}

void print_request(const std::vector<log_line>& lines, const log_line& end_line,
                   const std::set<std::string>& engines)
{
    const auto duration_ms =
        std::strtoll(end_line.field("ms").c_str(), nullptr, 10);
    const auto start_ms = end_line.time_ms - duration_ms;
    std::printf("%s on %s: %s (status %s)\n  %s\n",
                end_line.field("req").c_str(), end_line.vm.c_str(),
                end_line.field("outcome").c_str(),
                end_line.field("status").c_str(),
                std::string(meaning_of(end_line.field("outcome"))).c_str());
    std::vector<const log_line*> shown;
    for (const auto& line : lines)
        if (line.field("req") == end_line.field("req") ||
            is_context(line, end_line, start_ms, engines))
            shown.push_back(&line);
    std::stable_sort(shown.begin(), shown.end(),
                     [](const auto* left, const auto* right) {
                         return left->time_ms < right->time_ms;
                     });
    for (const auto* line : shown) {
        std::printf("  %+7lld ms  %-16s",
                    static_cast<long long>(line->time_ms - start_ms),
                    line->event.c_str());
        for (const auto& [name, value] : line->fields)
            if (name != "req" && !value.empty())
                std::printf(" %s=%s", name.c_str(), value.c_str());
        std::printf("\n");
    }
}

} // namespace

client_exit run_explain(const client_options&,
                        const command_arguments& arguments)
{
    if (arguments.size() < 2)
        return client_exit::usage;
    std::vector<log_line> lines;
    if (!read_files(arguments, lines))
        return client_exit::failed;
    std::set<std::string> engines;
    for (const auto& line : lines)
        if (line.field("req") == arguments[0])
            engines.insert(line.field("engine"));
    bool found = false;
    for (const auto& line : lines) {
        if (line.event != "request_end" || line.field("req") != arguments[0])
            continue;
        found = true;
        print_request(lines, line, engines);
    }
    if (!found) {
        std::fprintf(
            stderr,
            "rosemarydeck: the given files hold no request_end event of "
            "request %s; give the log files of all VMs\n",
            arguments[0].c_str());
        return client_exit::failed;
    }
    return client_exit::done;
}

} // namespace rosemarydeck
