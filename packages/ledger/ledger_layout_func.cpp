/** @file ledger_layout_func.cpp Assignment of customers to ledger shards. */
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

} // namespace

ledger_layout layout_for(std::uint32_t store_writes_per_s)
{
    return {store_writes_per_s <= max_single_shard_writes_per_s ? 1
                                                                : many_shards};
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
