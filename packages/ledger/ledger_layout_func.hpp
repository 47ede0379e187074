/** @file ledger_layout_func.hpp Ledger shards, and how they are renewed. */
#pragma once

#include "ledger/ledger_cmd.hpp"

#include <optional>

namespace rosemarydeck
{

/**
 * @param store_writes_per_s Writes per second that the store accepts from all
 *        VMs together; grows with the size of the deployment.
 * @return The layout that the first VM of a deployment writes.
 */
ledger_layout layout_for(std::uint32_t store_writes_per_s);

/** How the VMs that draw on a shard renew their shares. */
struct ledger_plan
{
    ledger_policy policy;
    /** Renewal interval while no request lacks tokens. */
    duration renewal_interval{};
    /** Pause before tokens that the shard could not grant are requested again;
     *  other VMs release headroom at their own renewals. */
    duration shortage_backoff{};
};

/** @return The plan for all shards of a layout. */
ledger_plan ledger_plan_for(const ledger_layout& layout);

/** @return Number of the shard that holds a customer's account, from 0. */
std::uint32_t shard_of(const ledger_layout& layout,
                       const customer_id& customer);

/** @return Name of a shard's object in the store. */
std::string shard_name(std::uint32_t shard);

/** @return Number of the shard with that name; none if the name is invalid. */
std::optional<std::uint32_t> parse_shard_name(const ledger_layout& layout,
                                              const std::string& name);

} // namespace rosemarydeck
