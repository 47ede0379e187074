/** @file ledger_layout_func.cpp Assignment of customers to ledger shards. */
#include "ledger/ledger_layout_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <charconv>

namespace rosemarydeck
{

namespace
{

/** Max. store writes per second for a single shard; such a deployment has about
 *  10 VMs. */
constexpr std::uint32_t one_ledger_writes = 400;
/** Number of shards above that, so that nearly every customer has its own. */
constexpr std::uint32_t many_parts = 65'536;

constexpr std::string_view part_prefix = "part-";

} // namespace

ledger_layout layout_for(std::uint32_t store_writes_per_s)
{
    return {store_writes_per_s <= one_ledger_writes ? 1 : many_parts};
}

std::uint32_t shard_of(const ledger_layout& layout, const customer_id& customer)
{
    return static_cast<std::uint32_t>(stable_hash(customer.value()) %
                                      std::max<std::uint32_t>(1, layout.parts));
}

std::string shard_name(std::uint32_t part)
{
    return std::string(part_prefix) + std::to_string(part);
}

std::optional<std::uint32_t> parse_shard_name(const ledger_layout& layout,
                                              const std::string& name)
{
    if (!name.starts_with(part_prefix))
        return std::nullopt;
    std::uint32_t part = 0;
    const auto* const begin = name.data() + part_prefix.size();
    const auto* const end = name.data() + name.size();
    const auto read = std::from_chars(begin, end, part);
    if (read.ec != std::errc{} || read.ptr != end || part >= layout.parts)
        return std::nullopt;
    return part;
}

} // namespace rosemarydeck
