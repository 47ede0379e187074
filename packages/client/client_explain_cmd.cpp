/** @file client_explain_cmd.cpp Tells a request's story from VMs' logs. */
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

/** Changes of what a VM believes count as context for so long before. */
constexpr std::int64_t context_ms = 5'000;
/** Renewals of budgets are shown only so long before. */
constexpr std::int64_t renewals_ms = 600;

/** What an outcome means, for a person. */
struct outcome_row
{
    std::string_view outcome;
    std::string_view meaning;
};

constexpr std::array outcome_rows{
    outcome_row{"served", "the client got a whole answer"},
    outcome_row{"budget_spent",
                "the customer's budget can't cover the request; top it up"},
    outcome_row{"no_headroom",
                "this VM held too little of the budget and could not get more "
                "in time; see store_lost, budgets_renewed, credit_short and "
                "peer_silent, and credit_denied on the VMs asked"},
    outcome_row{"no_configuration", "the VM had read no configuration yet"},
    outcome_row{"no_route", "no route of that configuration matches"},
    outcome_row{"unknown_key", "no customer of that configuration holds it"},
    outcome_row{"no_engine", "no engine of the service could be reached"},
    outcome_row{"engines_full", "engines turned it away without running it"},
    outcome_row{"engine_lost",
                "an engine was lost with it and it may not be repeated, or "
                "repeats were used up"},
    outcome_row{"engine_failure", "an engine ran it and answered so itself"},
    outcome_row{"timed_out", "the route's or the client's time was over"},
    outcome_row{"stream_broken", "its stream broke and could not be resumed"},
    outcome_row{"client_gone", "the client left before the answer's end"},
    outcome_row{"crashes_engines",
                "engines went down with this request before"}};

std::string_view meaning_of(const std::string& outcome)
{
    for (const auto& row : outcome_rows)
        if (row.outcome == outcome)
            return row.meaning;
    return "no explanation is known for this outcome";
}

/** Reads all lines; complains of files that can't be read. */
bool read_files(const command_words& words, std::vector<log_line>& into)
{
    for (std::size_t at = 1; at < words.size(); ++at) {
        std::ifstream file(words[at]);
        if (!file) {
            std::fprintf(stderr, "rosemarydeck: %s can't be read\n",
                         words[at].c_str());
            return false;
        }
        for (std::string text; std::getline(file, text);)
            if (auto line = parse_log_line(text))
                into.push_back(*std::move(line));
    }
    return true;
}

/** @return True if a line tells what the request's VM believed. */
bool is_context(const log_line& line, const log_line& end,
                std::int64_t begun_ms, const std::set<std::string>& engines)
{
    if (line.vm != end.vm || line.fields.count("req") > 0 ||
        line.time_ms < begun_ms - context_ms || line.time_ms > end.time_ms)
        return false;
    if (line.event == "budgets_renewed")
        return line.time_ms >= begun_ms - renewals_ms;
    if (line.event == "engine_listed" || line.event == "engine_gone")
        return engines.count(line.field("engine")) > 0;
    return line.event != "engines_listed" || line.time_ms >= begun_ms;
}

void tell(const std::vector<log_line>& lines, const log_line& end,
          const std::set<std::string>& engines)
{
    const auto took = std::strtoll(end.field("ms").c_str(), nullptr, 10);
    const auto begun_ms = end.time_ms - took;
    std::printf("%s on %s: %s (status %s)\n  %s\n", end.field("req").c_str(),
                end.vm.c_str(), end.field("outcome").c_str(),
                end.field("status").c_str(),
                std::string(meaning_of(end.field("outcome"))).c_str());
    std::vector<const log_line*> shown;
    for (const auto& line : lines)
        if (line.field("req") == end.field("req") ||
            is_context(line, end, begun_ms, engines))
            shown.push_back(&line);
    std::stable_sort(shown.begin(), shown.end(),
                     [](const auto* left, const auto* right) {
                         return left->time_ms < right->time_ms;
                     });
    for (const auto* line : shown) {
        std::printf("  %+7lld ms  %-16s",
                    static_cast<long long>(line->time_ms - begun_ms),
                    line->event.c_str());
        for (const auto& [name, value] : line->fields)
            if (name != "req" && !value.empty())
                std::printf(" %s=%s", name.c_str(), value.c_str());
        std::printf("\n");
    }
}

} // namespace

client_exit run_explain(const client_options&, const command_words& words)
{
    if (words.size() < 2)
        return client_exit::usage;
    std::vector<log_line> lines;
    if (!read_files(words, lines))
        return client_exit::failed;
    std::set<std::string> engines;
    for (const auto& line : lines)
        if (line.field("req") == words[0])
            engines.insert(line.field("engine"));
    bool found = false;
    for (const auto& line : lines) {
        if (line.event != "request_end" || line.field("req") != words[0])
            continue;
        found = true;
        tell(lines, line, engines);
    }
    if (!found) {
        std::fprintf(stderr, "rosemarydeck: no file tells of request %s\n",
                     words[0].c_str());
        return client_exit::failed;
    }
    return client_exit::done;
}

} // namespace rosemarydeck
