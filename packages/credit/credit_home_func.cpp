/** @file credit_home_func.cpp Selection of a customer's home VMs. */
#include "credit/credit_home_func.hpp"

#include "common/hash_func.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace rosemarydeck
{

std::vector<fleet_vm> homes_of(const customer_id& customer, const dc_id& own,
                               const std::vector<fleet_vm>& fleet)
{
    std::map<dc_id, double> max_cores;
    for (const auto& one : fleet)
        max_cores[one.data_centre] =
            std::max(max_cores[one.data_centre], one.cores);
    std::vector<fleet_vm> candidates;
    std::vector<std::string> names;
    for (const auto& one : fleet) {
        if (one.cores * 2 < max_cores[one.data_centre])
            continue;
        candidates.push_back(one);
        names.push_back(one.vm.value());
    }
    std::vector<fleet_vm> homes;
    std::optional<fleet_vm> fallback;
    std::set<dc_id> seen;
    for (const auto index : rendezvous_order(customer.value(), names)) {
        const auto& one = candidates[index];
        const bool first = seen.insert(one.data_centre).second;
        if (first)
            homes.insert(one.data_centre == own ? homes.begin() : homes.end(),
                         one);
        else if (one.data_centre == own && !fallback)
            fallback = one;
    }
    if (fallback)
        homes.push_back(*fallback);
    return homes;
}

} // namespace rosemarydeck
