/** @file config_base.cpp The configuration that is in force on a VM. */
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

std::string tail(const std::string& name, const std::string& prefix)
{
    return name.substr(prefix.size());
}

template <class Map, class Key>
const typename Map::mapped_type* find_in(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/** Stores a parsed entry if its own name is the object's. */
template <class Map, class Id, class Value>
std::string put_entry(Map& map, const Id& named, const Id& own,
                      const expected<Value>& entry)
{
    if (!entry)
        return entry.error().text;
    if (own != named)
        return "the object's name and its content differ";
    map[named] = *entry;
    return {};
}

} // namespace

std::vector<config_change>
fleet_config::apply(const std::vector<platform_object>& objects,
                    object_version complete_to)
{
    std::vector<config_change> changes;
    for (const auto& object : objects) {
        const auto* known = find_in(objects_, object.name);
        if (known != nullptr && known->version >= object.version)
            continue;
        // A rejected value is remembered too, so that peers learn of it and
        // it isn't checked again; what was in force stays in force.
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
    revision_ = std::max(revision_, complete_to);
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
    return find_in(plans_, customer);
}

object_version fleet_config::plan_version(const customer_id& customer) const
{
    const auto* object = find_in(objects_, plans_prefix + customer.value());
    return object == nullptr ? 0 : object->version;
}

const allowance*
fleet_config::customer_allowance(const customer_id& customer) const
{
    return find_in(allowances_, customer);
}

const customer_id*
fleet_config::customer_of_key(const std::string& api_key) const
{
    const auto* holders = find_in(api_keys_, api_key);
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
                         customer_id(tail(name, allowances_prefix)),
                         entry ? entry->customer : customer_id(), entry);
    }
    if (has_prefix(name, servers_prefix)) {
        const auto entry = parse_server(object.value);
        return put_entry(servers_, server_id(tail(name, servers_prefix)),
                         entry ? entry->server : server_id(), entry);
    }
    if (has_prefix(name, vms_prefix)) {
        const auto entry = parse_vm(object.value);
        return put_entry(vms_, vm_id(tail(name, vms_prefix)),
                         entry ? entry->vm : vm_id(), entry);
    }
    return "no such list";
}

std::string fleet_config::put_plan(const platform_object& object)
{
    const auto plan = parse_plan(object.value);
    const customer_id named(tail(object.name, plans_prefix));
    if (plan && plan->customer == named)
        forget_keys(named);
    const auto fault =
        put_entry(plans_, named, plan ? plan->customer : customer_id(), plan);
    if (!fault.empty())
        return fault;
    for (const auto& key : plan->api_keys)
        api_keys_[key].insert(named);
    return {};
}

void fleet_config::erase(const std::string& name)
{
    if (has_prefix(name, plans_prefix)) {
        const customer_id customer(tail(name, plans_prefix));
        forget_keys(customer);
        plans_.erase(customer);
    }
    else if (has_prefix(name, allowances_prefix))
        allowances_.erase(customer_id(tail(name, allowances_prefix)));
    else if (has_prefix(name, servers_prefix))
        servers_.erase(server_id(tail(name, servers_prefix)));
    else if (has_prefix(name, vms_prefix))
        vms_.erase(vm_id(tail(name, vms_prefix)));
}

void fleet_config::forget_keys(const customer_id& customer)
{
    const auto* plan = find_in(plans_, customer);
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
