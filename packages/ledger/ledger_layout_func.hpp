/** @file ledger_layout_func.hpp Which customers share a ledger. */
#pragma once

#include "ledger/ledger_type.hpp"

#include <optional>

namespace rosemarydeck
{

/**
 * @param store_writes_per_s That the store takes from all VMs together; it
 *        grows with the size of the deployment.
 * @return The layout that a first VM writes.
 */
ledger_layout layout_for(std::uint32_t store_writes_per_s);

/** @return The ledger that holds a customer's account, from 0. */
std::uint32_t shard_of(const ledger_layout& layout,
                       const customer_id& customer);

/** @return The name of a ledger in the store. */
std::string shard_name(std::uint32_t part);

/** @return The ledger with that name, or none. */
std::optional<std::uint32_t> parse_shard_name(const ledger_layout& layout,
                                              const std::string& name);

} // namespace rosemarydeck
