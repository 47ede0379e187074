/** @file ledger_layout_func.hpp Which VMs share a ledger, and of what. */
#pragma once

#include "ledger/ledger_type.hpp"

namespace rosemarydeck
{

/**
 * @param store_writes_per_s That the store takes from all VMs together; it
 *        grows with the size of the deployment.
 * @return The layout that a first VM writes.
 */
ledger_layout layout_for(std::uint32_t store_writes_per_s);

/** @return The cell of a VM, from 0. */
std::uint32_t cell_of(const ledger_layout& layout, const vm_id& vm);

/** @return The name of a cell's ledger. */
cell_id name_of_cell(std::uint32_t cell);

/** @return A cell's part of a budget; the parts never exceed it in sum. */
token_count cell_part(const ledger_layout& layout, std::uint32_t cell,
                      token_count prepaid);

} // namespace rosemarydeck
