/** @file ledger_cmd.hpp Commands on the ledger value, and its queries. */
#pragma once

#include "ledger/ledger_type.hpp"
#include "ledger/wallet_base.hpp"

#include <set>

namespace rosemarydeck
{

/** One VM's wish for its part of every budget. */
struct ledger_renewal
{
    instance_id self;
    ledger_member member;
    std::map<customer_id, wallet_usage> usage;
    std::map<customer_id, token_count> prepaid; ///< From the configuration.
    std::set<instance_id> silent; ///< Runs that have long stopped writing.
    double cover_seconds = 12;    ///< Spending that headroom should outlast.
    double first_share = 0.05;    ///< Of prepaid, before any traffic is seen.
};

/** A ledger to be written, and what it grants to the writer. */
struct renewed_ledger
{
    ledger next;
    std::map<customer_id, token_count> granted;
};

/**
 * Gives a VM its part of every budget: what it has spent, and headroom for the
 * time that it may be alone. Where the budget can't give everyone that, the
 * rest is divided in proportion to what each wants.
 */
renewed_ledger renew(const ledger& now, const ledger_renewal& wish);

/** Ends a run: its charges are closed and its headroom returns. */
ledger close_run(const ledger& now, const instance_id& self,
                 const std::map<customer_id, token_count>& spent);

/** @return Tokens of a budget that no run has reported as spent. */
token_count unspent(const ledger& now, const customer_id& customer,
                    token_count prepaid);

} // namespace rosemarydeck
