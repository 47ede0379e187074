/** @file ledger_layout_func.cpp Which VMs share a ledger, and of what. */
#include "ledger/ledger_layout_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

/** A deployment with so many writes a second has one cell of some 10 VMs. */
constexpr std::uint32_t first_cell_writes = 400;
/** Each further cell stands for so many, as measured with 85 VMs. */
constexpr std::uint32_t further_cell_writes = 130;

} // namespace

ledger_layout layout_for(std::uint32_t store_writes_per_s)
{
    const auto beyond = store_writes_per_s > first_cell_writes
                            ? store_writes_per_s - first_cell_writes
                            : 0;
    return {1 + beyond / further_cell_writes};
}

std::uint32_t cell_of(const ledger_layout& layout, const vm_id& vm)
{
    return static_cast<std::uint32_t>(stable_hash(vm.value()) %
                                      std::max<std::uint32_t>(1, layout.cells));
}

cell_id name_of_cell(std::uint32_t cell)
{
    return cell_id("cell-" + std::to_string(cell));
}

token_count cell_part(const ledger_layout& layout, std::uint32_t cell,
                      token_count prepaid)
{
    const auto cells =
        static_cast<token_count>(std::max<std::uint32_t>(1, layout.cells));
    // The first cells take one more token of what can't be divided.
    return prepaid / cells +
           (static_cast<token_count>(cell) < prepaid % cells ? 1 : 0);
}

} // namespace rosemarydeck
