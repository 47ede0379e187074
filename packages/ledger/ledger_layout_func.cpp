/** @file ledger_layout_func.cpp Ledger shards, and how they are renewed. */
#include "ledger/ledger_layout_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <charconv>

namespace rosemarydeck
{

namespace
{

/** Maximum store writes per second of a deployment with a single shard, which
 *  has about 10 VMs. */
constexpr std::uint32_t max_single_shard_writes_per_s = 400;
/** Number of shards of a larger deployment: nearly every customer has its own.
 */
constexpr std::uint32_t many_shards = 65'536;

constexpr std::string_view shard_name_prefix = "part-";

/** Renewal interval, and seconds of spending that a new grant makes available
 *  at once, where a few VMs share a single shard. Both are short,
 *  because both increase what an ended run is charged beyond its last report.
 */
constexpr std::chrono::milliseconds shared_renewal_interval{1'000};
constexpr double shared_burst_seconds = 1;
constexpr std::chrono::milliseconds shared_shortage_backoff{700};
/** Number of home VMs that draw on a customer's shard, one in each data
 *  centre. */
constexpr std::size_t expected_home_vms = 3;
/** Renewal interval of a home VM. A grant becomes spendable gradually, in
 *  full after 4 s or more, so it outlasts the interval. */
constexpr std::chrono::milliseconds home_renewal_interval{3'000};
/** Slack of a home VM. All VMs of its data centre live on it, and it renews
 * less often, so more of it is used; it is small only near the end. */
constexpr spending_slack home_full_slack{.max_burst_fraction = 1,
                                         .max_slope_fraction = 1,
                                         .slope_factor = 2.5,
                                         .outage_seconds = 16};
constexpr spending_slack home_low_slack{.max_burst_fraction = 0.03,
                                        .max_slope_fraction = 0.04,
                                        .slope_factor = 1.3,
                                        .outage_seconds = 8};
/** Home VMs in other data centres release headroom at their own renewals. */
constexpr std::chrono::milliseconds home_shortage_backoff{2'000};

} // namespace

ledger_layout layout_for(std::uint32_t store_writes_per_s)
{
    return {store_writes_per_s <= max_single_shard_writes_per_s ? 1
                                                                : many_shards};
}

ledger_plan ledger_plan_for(const ledger_layout& layout)
{
    ledger_plan plan;
    if (layout.parts == 1) {
        plan.renewal_interval = shared_renewal_interval;
        plan.shortage_backoff = shared_shortage_backoff;
        plan.policy.burst_seconds = shared_burst_seconds;
    }
    else {
        plan.renewal_interval = home_renewal_interval;
        plan.shortage_backoff = home_shortage_backoff;
        plan.policy.min_vms = expected_home_vms;
        plan.policy.full = home_full_slack;
        plan.policy.full_level = 0.4;
        plan.policy.low = home_low_slack;
        plan.policy.low_level = 0.15;
    }
    return plan;
}

std::uint32_t shard_of(const ledger_layout& layout, const customer_id& customer)
{
    return static_cast<std::uint32_t>(stable_hash(customer.value()) %
                                      std::max<std::uint32_t>(1, layout.parts));
}

std::string shard_name(std::uint32_t shard)
{
    return std::string(shard_name_prefix) + std::to_string(shard);
}

std::optional<std::uint32_t> parse_shard_name(const ledger_layout& layout,
                                              const std::string& name)
{
    if (!name.starts_with(shard_name_prefix))
        return std::nullopt;
    std::uint32_t shard = 0;
    const auto* const begin = name.data() + shard_name_prefix.size();
    const auto* const end = name.data() + name.size();
    const auto read = std::from_chars(begin, end, shard);
    if (read.ec != std::errc{} || read.ptr != end || shard >= layout.parts)
        return std::nullopt;
    return shard;
}

} // namespace rosemarydeck
