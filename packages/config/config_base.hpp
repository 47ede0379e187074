/** @file config_base.hpp The configuration that is in force on a VM. */
#pragma once

#include "common/error_type.hpp"
#include "config/config_type.hpp"
#include "object_service/object_call_type.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace rosemarydeck
{

/** What became of one object that was offered. */
struct config_change
{
    std::string name;
    object_version version = 0;
    std::string fault; ///< Empty when it is in force.

    bool operator==(const config_change&) const = default;
};

/**
 * Holds every object under the fleet prefix, whole or not at all. A version
 * older than the one in force is never taken.
 */
class fleet_config
{
public:
    /**
     * Takes objects from the platform or from a peer.
     * @param objects Objects of any age, also deleted ones.
     * @param complete_to Revision up to which these, with what is in force,
     * are all there is.
     * @return One entry for each object that was news.
     */
    std::vector<config_change>
    apply(const std::vector<platform_object>& objects,
          object_version complete_to);

    /** @return Revision up to which everything is known. */
    [[nodiscard]] object_version revision() const { return revision_; }
    /** @return All objects newer than a revision, also deleted ones. */
    [[nodiscard]] std::vector<platform_object>
    changed_since(object_version since) const;

    /** @return The plan, or null. */
    [[nodiscard]] const customer_plan* plan(const customer_id& customer) const;
    /** @return The version of the plan in force, or 0. */
    [[nodiscard]] object_version
    plan_version(const customer_id& customer) const;
    /** @return The allowance, or null. */
    [[nodiscard]] const allowance*
    customer_allowance(const customer_id& customer) const;
    /**
     * @param api_key A caller's key.
     * @return The customer with this key, or null. Of several plans that
     * name the same key, the customer first in order has it, so that all VMs
     * decide alike.
     */
    [[nodiscard]] const customer_id*
    customer_of_key(const std::string& api_key) const;
    /** @return The servers of the platform's list. */
    [[nodiscard]] const std::map<server_id, server_entry>& servers() const
    {
        return servers_;
    }
    /** @return The VMs of the platform's list. */
    [[nodiscard]] const std::map<vm_id, vm_entry>& vms() const { return vms_; }

private:
    std::string put(const platform_object& object);
    std::string put_plan(const platform_object& object);
    void erase(const std::string& name);
    void forget_keys(const customer_id& customer);

    std::unordered_map<std::string, platform_object> objects_;
    std::map<object_version, std::string> by_version_;
    std::unordered_map<customer_id, customer_plan> plans_;
    std::unordered_map<customer_id, allowance> allowances_;
    std::unordered_map<std::string, std::set<customer_id>> api_keys_;
    std::map<server_id, server_entry> servers_;
    std::map<vm_id, vm_entry> vms_;
    object_version revision_ = 0;
};

} // namespace rosemarydeck
