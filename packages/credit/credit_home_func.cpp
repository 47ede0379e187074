/** @file credit_home_func.cpp Which VMs hold a customer's budget. */
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
    std::map<dc_id, double> largest;
    for (const auto& one : fleet)
        largest[one.data_centre] =
            std::max(largest[one.data_centre], one.cores);
    std::vector<fleet_vm> able;
    std::vector<std::string> names;
    for (const auto& one : fleet) {
        if (one.cores * 2 < largest[one.data_centre])
            continue;
        able.push_back(one);
        names.push_back(one.vm.value());
    }
    std::vector<fleet_vm> homes;
    std::optional<fleet_vm> next;
    std::set<dc_id> seen;
    for (const auto at : rendezvous_order(customer.value(), names)) {
        const auto& one = able[at];
        const bool first = seen.insert(one.data_centre).second;
        if (first)
            homes.insert(one.data_centre == own ? homes.begin() : homes.end(),
                         one);
        else if (one.data_centre == own && !next)
            next = one;
    }
    if (next)
        homes.push_back(*next);
    return homes;
}

} // namespace rosemarydeck
