/** @file credit_home_func.hpp Selection of a customer's home VMs. */
#pragma once

#include "credit/credit_type.hpp"

#include <vector>

namespace rosemarydeck
{

/**
 * Selects the home VM of a customer in each data centre: the VM that draws on
 * the customer's ledger shard and lends credit to the other VMs there. Uses
 * rendezvous hashing, so VMs with the same view of the fleet agree without
 * messages, and a VM that joins or leaves moves only its own customers. VMs
 * with less than half the processor time of the largest VM in their data centre
 * are excluded, since they need it for their traffic.
 * @param own Data centre of the requesting VM.
 * @return VMs to request credit from, in order: the home VM of the own data
 *         centre, those of the others, the next candidate in the own one.
 */
std::vector<fleet_vm> homes_of(const customer_id& customer, const dc_id& own,
                               const std::vector<fleet_vm>& fleet);

} // namespace rosemarydeck
