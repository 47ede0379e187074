/** @file gateway_metrics_base.cpp Counters and latency histograms. */
#include "gateway/gateway_metrics_base.hpp"

#include <sstream>

namespace rosemarydeck
{

namespace
{

/** Name, without the prefix, and help text of one metric. */
struct metric_row
{
    const char* name;
    const char* help;
};

constexpr std::array<metric_row, static_cast<std::size_t>(counter::count_)>
    counter_rows{{
        {"requests_total", "Requests read from clients."},
        {"answers_served_total", "Whole successful answers delivered."},
        {"answers_late_total", "Of these, after the route's target latency."},
        {"answers_failed_total", "Requests that ended without success."},
        {"refused_no_config_total", "Refused before a configuration came."},
        {"refused_unauthorized_total", "Refused for an unknown key."},
        {"refused_no_route_total", "Refused because no route matches."},
        {"refused_unconfirmed_total",
         "Refused: the store could not tell whether a newer configuration "
         "allows it."},
        {"refused_malformed_total", "Requests that could not be read."},
        {"refused_budget_spent_total", "Refused: the budget can't cover it."},
        {"refused_budget_unknown_total",
         "Refused: no headroom here and the ledger out of reach."},
        {"refused_budget_kept_total",
         "Refused: the rest of the budget is kept for smaller requests."},
        {"refused_no_engine_total", "Refused: no engine could be reached."},
        {"refused_stopping_total", "Refused: this VM stops too soon."},
        {"refused_token_count_total", "Refused: the token count is invalid."},
        {"refused_engines_full_total", "Refused: engines turned it away."},
        {"refused_crashing_total",
         "Refused: engines went down with this request before."},
        {"refused_unknown_origin_total",
         "Refused: unknown at which software version the stream began."},
        {"refused_memory_total",
         "Refused: connections hold the memory that the request needs."},
        {"refused_vm_full_total",
         "Refused: the VM is full, and the customer has its part of it."},
        {"connections_refused_total",
         "Connections of clients closed at once: too many are served."},
        {"clients_gone_total", "Requests whose client left first."},
        {"sends_total", "Requests sent to engines, repeats included."},
        {"repeats_total", "Sends beyond a request's first."},
        {"repeats_denied_total", "Repeats that the retry budget denied."},
        {"resumes_total", "Streams continued at another engine."},
        {"relays_total", "Requests passed on to another VM."},
        {"engine_connections_total", "Connections opened to engines."},
        {"engine_start_checks_total",
         "Reports read to see whether an engine has started anew."},
        {"events_forwarded_total", "Stream events passed to clients."},
        {"tokens_charged_total", "Tokens charged to customers."},
        {"store_calls_total", "Calls to the platform's store."},
        {"store_lists_total", "Calls that list objects of one kind."},
        {"store_watches_total", "Calls that wait for changes of one kind."},
        {"store_reads_total", "Calls that read one object."},
        {"store_writes_total", "Calls that write or delete one object."},
        {"store_failures_total", "Store calls without a usable answer."},
        {"watch_checks_total",
         "Cheap reads that check a watch; among the watches as well."},
        {"watches_overdue_total",
         "Watches replaced because they did not tell of a change."},
        {"checks_outdated_total",
         "Checks of watches repeated because the answer was out of date."},
        {"config_changes_total", "Configurations taken into force."},
        {"credit_asks_total", "Asks for budget sent to other VMs."},
        {"credit_given_tokens_total", "Tokens given to other VMs."},
    }};

constexpr std::array<metric_row, static_cast<std::size_t>(gauge::count_)>
    gauge_rows{{
        {"held_bytes", "Memory charged to connections."},
        {"connections", "Open connections of clients, VMs and checks."},
        {"connections_yielded",
         "Connections that made room for others since the start."},
        {"config_version", "Version of the configuration in force."},
        {"config_newest_version", "Highest version heard of."},
        {"config_heard_ms",
         "Time since the store last told of the configuration."},
        {"config_confirmed_ms",
         "Age of what is known of the configuration for certain."},
        {"engines_heard_ms", "Time since the store last told of engines."},
    }};

constexpr std::array<metric_row, static_cast<std::size_t>(histogram::count_)>
    histogram_rows{{
        {"first_event_ms", "Time to a request's first answer bytes."},
        {"whole_answer_ms", "Time to the end of a request's answer."},
        {"store_call_ms", "Time of one store call, watches left out."},
        {"credit_ask_ms", "Time until another VM answered an ask for budget."},
    }};

} // namespace

void gateway_metrics::observe(histogram which, duration elapsed)
{
    auto& into = histograms_[static_cast<std::size_t>(which)];
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    std::size_t at = 0;
    while (at < bounds_ms.size() && ms > bounds_ms[at])
        ++at;
    into.counts[at].fetch_add(1, std::memory_order_relaxed);
    into.sum_us.fetch_add(elapsed.count(), std::memory_order_relaxed);
}

std::string gateway_metrics::expose() const
{
    std::ostringstream out;
    for (std::size_t at = 0; at < counter_rows.size(); ++at) {
        const auto& row = counter_rows[at];
        out << "# HELP rosemarydeck_" << row.name << ' ' << row.help
            << "\n# TYPE rosemarydeck_" << row.name << " counter\n"
            << "rosemarydeck_" << row.name << ' ' << counters_[at].load()
            << '\n';
    }
    for (std::size_t at = 0; at < gauge_rows.size(); ++at) {
        const auto& row = gauge_rows[at];
        out << "# HELP rosemarydeck_" << row.name << ' ' << row.help
            << "\n# TYPE rosemarydeck_" << row.name << " gauge\n"
            << "rosemarydeck_" << row.name << ' ' << gauges_[at].load() << '\n';
    }
    for (std::size_t at = 0; at < histogram_rows.size(); ++at) {
        const auto& row = histogram_rows[at];
        const auto& from = histograms_[at];
        out << "# HELP rosemarydeck_" << row.name << ' ' << row.help
            << "\n# TYPE rosemarydeck_" << row.name << " histogram\n";
        std::uint64_t total = 0;
        for (std::size_t bucket = 0; bucket < from.counts.size(); ++bucket) {
            total += from.counts[bucket].load();
            out << "rosemarydeck_" << row.name << "_bucket{le=\"";
            if (bucket < bounds_ms.size())
                out << bounds_ms[bucket];
            else
                out << "+Inf";
            out << "\"} " << total << '\n';
        }
        out << "rosemarydeck_" << row.name << "_sum "
            << from.sum_us.load() / 1'000 << "\nrosemarydeck_" << row.name
            << "_count " << total << '\n';
    }
    return out.str();
}

} // namespace rosemarydeck
