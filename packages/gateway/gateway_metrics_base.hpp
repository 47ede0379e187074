/** @file gateway_metrics_base.hpp Counters and latency histograms. */
#pragma once

#include "common/time_type.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace rosemarydeck
{

/** Counters, in the order of the table in the source file. */
enum class counter
{
    requests,
    answers_served,
    answers_late,
    answers_failed,
    refused_no_config,
    refused_unauthorized,
    refused_no_route,
    refused_unconfirmed,
    refused_malformed,
    refused_budget_spent,
    refused_budget_unknown,
    refused_budget_kept,
    refused_no_engine,
    refused_stopping,
    refused_token_count,
    refused_engines_full,
    refused_crashing,
    refused_unknown_origin,
    refused_memory,
    refused_vm_full,
    connections_refused,
    clients_gone,
    sends,
    retries,
    retries_denied,
    resumes,
    relays,
    engine_connections,
    engine_start_checks,
    events_forwarded,
    tokens_charged,
    store_calls,
    store_lists,
    store_watches,
    store_reads,
    store_writes,
    store_failures,
    watch_checks,
    watches_overdue,
    checks_outdated,
    config_changes,
    credit_requests,
    credit_granted_tokens,
    count_,
};

/** Present values, in the order of the table in the source file. */
enum class gauge
{
    held_bytes,
    connections,
    connections_yielded,
    config_version,
    config_newest_version,
    config_heard_ms,
    config_confirmed_ms,
    engines_heard_ms,
    count_,
};

/** Latency histograms, in the order of the table in the source file. */
enum class histogram
{
    first_event,
    whole_answer,
    store_call,
    credit_request,
    count_,
};

/** Metrics of one process. Lock-free; usable from any thread. */
class gateway_metrics
{
public:
    /** Adds to a counter. */
    void add(counter which, std::uint64_t by = 1)
    {
        counters_[static_cast<std::size_t>(which)].fetch_add(
            by, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value(counter which) const
    {
        return counters_[static_cast<std::size_t>(which)].load(
            std::memory_order_relaxed);
    }
    /** Replaces a present value. */
    void set(gauge which, std::uint64_t value)
    {
        gauges_[static_cast<std::size_t>(which)].store(
            value, std::memory_order_relaxed);
    }
    /** Adds a duration to a histogram. */
    void observe(histogram which, duration elapsed);
    /** @return All metrics in the text exposition format. */
    [[nodiscard]] std::string expose() const;

private:
    /** Upper bounds of the buckets in milliseconds; a last bucket has none. */
    static constexpr std::array<std::int64_t, 12> bounds_ms{
        2, 5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 15'000};

    struct buckets
    {
        std::array<std::atomic<std::uint64_t>, bounds_ms.size() + 1> counts{};
        std::atomic<std::int64_t> sum_us{0};
    };

    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(counter::count_)>
        counters_{};
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(gauge::count_)>
        gauges_{};
    std::array<buckets, static_cast<std::size_t>(histogram::count_)>
        histograms_{};
};

} // namespace rosemarydeck
