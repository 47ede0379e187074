/** @file config_base.cpp Configuration in force on a VM. */
#include "config/config_base.hpp"

#include "config/config_check_func.hpp"

#include <algorithm>

namespace rosemarydeck
{

namespace
{

bool has_prefix(const std::string& name, const std::string& prefix)
{
    return name.compare(0, prefix.size(), prefix) == 0;
}

std::string without_prefix(const std::string& name, const std::string& prefix)
{
    return name.substr(prefix.size());
}

template <class Map, class Key>
const typename Map::mapped_type* find_value(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/** Stores a parsed entry if its id equals the one in the object's name.
 *  @return Why the entry is rejected, or empty. */
template <class Map, class Id, class Value>
std::string put_entry(Map& map, const Id& name_id, const Id& entry_id,
                      const expected<Value>& entry)
{
    if (!entry)
        return entry.error().text;
    if (entry_id != name_id)
        return "the id in the object's name and the id in its value differ";
    map[name_id] = *entry;
    return {};
}

} // namespace

std::vector<config_change>
fleet_config::apply(const std::vector<platform_object>& objects,
                    object_version complete_revision)
{
    std::vector<config_change> changes;
    for (const auto& object : objects) {
        const auto* known = find_value(objects_, object.name);
        if (known != nullptr && known->version >= object.version)
            continue;
        // Rejected objects are stored too, so that they are sent to peers and
        // are not checked again. The value before them stays in force.
        if (known != nullptr)
            by_version_.erase(known->version);
        objects_[object.name] = object;
        by_version_[object.version] = object.name;
        std::string fault;
        if (object.deleted)
            erase(object.name);
        else
            fault = put(object);
        changes.push_back({object.name, object.version, fault});
    }
    revision_ = std::max(revision_, complete_revision);
    return changes;
}

std::vector<platform_object>
fleet_config::changed_since(object_version since) const
{
    std::vector<platform_object> changed;
    for (auto at = by_version_.upper_bound(since); at != by_version_.end();
         ++at)
        changed.push_back(objects_.at(at->second));
    return changed;
}

const customer_plan* fleet_config::plan(const customer_id& customer) const
{
    return find_value(plans_, customer);
}

object_version fleet_config::plan_version(const customer_id& customer) const
{
    const auto* object = find_value(objects_, plans_prefix + customer.value());
    return object == nullptr ? 0 : object->version;
}

const allowance*
fleet_config::customer_allowance(const customer_id& customer) const
{
    return find_value(allowances_, customer);
}

const customer_id*
fleet_config::customer_of_key(const std::string& api_key) const
{
    const auto* holders = find_value(api_keys_, api_key);
    return holders == nullptr ? nullptr : &*holders->begin();
}

std::string fleet_config::put(const platform_object& object)
{
    const auto& name = object.name;
    if (has_prefix(name, plans_prefix))
        return put_plan(object);
    if (has_prefix(name, allowances_prefix)) {
        const auto entry = parse_allowance(object.value);
        return put_entry(allowances_,
                         customer_id(without_prefix(name, allowances_prefix)),
                         entry ? entry->customer : customer_id(), entry);
    }
    if (has_prefix(name, servers_prefix)) {
        const auto entry = parse_server(object.value);
        return put_entry(servers_,
                         server_id(without_prefix(name, servers_prefix)),
                         entry ? entry->server : server_id(), entry);
    }
    if (has_prefix(name, vms_prefix)) {
        const auto entry = parse_vm(object.value);
        return put_entry(vms_, vm_id(without_prefix(name, vms_prefix)),
                         entry ? entry->vm : vm_id(), entry);
    }
    return "name is under none of fleet/{plans,allowances,servers,vms}/";
}

std::string fleet_config::put_plan(const platform_object& object)
{
    const auto plan = parse_plan(object.value);
    const customer_id name_id(without_prefix(object.name, plans_prefix));
    if (plan && plan->customer == name_id)
        remove_api_keys(name_id);
    const auto fault =
        put_entry(plans_, name_id, plan ? plan->customer : customer_id(), plan);
    if (!fault.empty())
        return fault;
    for (const auto& key : plan->api_keys)
        api_keys_[key].insert(name_id);
    return {};
}

void fleet_config::erase(const std::string& name)
{
    if (has_prefix(name, plans_prefix)) {
        const customer_id customer(without_prefix(name, plans_prefix));
        remove_api_keys(customer);
        plans_.erase(customer);
    }
    else if (has_prefix(name, allowances_prefix))
        allowances_.erase(customer_id(without_prefix(name, allowances_prefix)));
    else if (has_prefix(name, servers_prefix))
        servers_.erase(server_id(without_prefix(name, servers_prefix)));
    else if (has_prefix(name, vms_prefix))
        vms_.erase(vm_id(without_prefix(name, vms_prefix)));
}

void fleet_config::remove_api_keys(const customer_id& customer)
{
    const auto* plan = find_value(plans_, customer);
    if (plan == nullptr)
        return;
    for (const auto& key : plan->api_keys) {
        const auto found = api_keys_.find(key);
        if (found == api_keys_.end())
            continue;
        found->second.erase(customer);
        if (found->second.empty())
            api_keys_.erase(found);
    }
}

} // namespace rosemarydeck
