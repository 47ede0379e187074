/** @file config_base.hpp Configuration in force on a VM. */
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

/** Result of applying one version of an object. */
struct config_change
{
    std::string name; ///< Name of the object.
    object_version version = 0;
    std::string fault; ///< Why it was rejected; empty if it is in force.

    bool operator==(const config_change&) const = default;
};

/**
 * Holds the plans, allowances, servers and VMs from the objects under the fleet
 * prefix. An invalid object is rejected as a whole, and the value before it
 * stays in force. A version that is not newer than the known one is ignored.
 */
class fleet_config
{
public:
    /**
     * Applies objects from the platform or from a peer.
     * @param objects Objects of any version, deleted ones included.
     * @param complete_revision Revision up to which no object is missing after
     * this call.
     * @return One entry for each object whose version is newer than the known
     * one.
     */
    std::vector<config_change>
    apply(const std::vector<platform_object>& objects,
          object_version complete_revision);

    /** @return Revision up to which all objects are known. */
    [[nodiscard]] object_version revision() const { return revision_; }
    /** @return All objects newer than a revision, deleted ones included. */
    [[nodiscard]] std::vector<platform_object>
    changed_since(object_version since) const;

    /** @return The customer's plan, or nullptr. */
    [[nodiscard]] const customer_plan* plan(const customer_id& customer) const;
    /** @return The newest known version of the customer's plan, rejected and
     *  deleted ones included; 0 if none is known. */
    [[nodiscard]] object_version
    plan_version(const customer_id& customer) const;
    /** @return The customer's allowance, or nullptr. */
    [[nodiscard]] const allowance*
    customer_allowance(const customer_id& customer) const;
    /**
     * @param api_key An API key.
     * @return The customer with this key, or nullptr. If the plans of several
     * customers contain the key, the smallest customer id gets it, so that all
     * VMs give the same result.
     */
    [[nodiscard]] const customer_id*
    customer_of_key(const std::string& api_key) const;
    /** @return The backend servers on the platform's list. */
    [[nodiscard]] const std::map<server_id, server_entry>& servers() const
    {
        return servers_;
    }
    /** @return The VMs on the platform's list. */
    [[nodiscard]] const std::map<vm_id, vm_entry>& vms() const { return vms_; }

private:
    /** Stores the object's value. @return Why it is rejected, or empty. */
    std::string put(const platform_object& object);
    std::string put_plan(const platform_object& object);
    void erase(const std::string& name);
    void remove_api_keys(const customer_id& customer);

    /** The newest version of each object by name, rejected and deleted ones
     *  included. */
    std::unordered_map<std::string, platform_object> objects_;
    std::map<object_version, std::string> by_version_; ///< Object names.
    std::unordered_map<customer_id, customer_plan> plans_;
    std::unordered_map<customer_id, allowance> allowances_;
    std::unordered_map<std::string, std::set<customer_id>> api_keys_;
    std::map<server_id, server_entry> servers_;
    std::map<vm_id, vm_entry> vms_;
    object_version revision_ = 0;
};

} // namespace rosemarydeck
