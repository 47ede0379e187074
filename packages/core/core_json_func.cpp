/** @file core_json_func.cpp JSON forms of the core's types. */
#include "core/claim_base.hpp"
#include "core/decision_core_base.hpp"
#include "core/peer_message_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON(claim_object, claimant, token, fingerprint)

ROSEMARYDECK_JSON(server_status, server, data_centre, outstanding, slots,
                  leaving)

ROSEMARYDECK_JSON(core_status, self, revision, draining, watcher, open_requests,
                  unflushed_bills, customers, witness_records,
                  unfinished_adoptions, live, servers)

ROSEMARYDECK_JSON(heartbeat, info, when, revision, draining)

ROSEMARYDECK_JSON(config_pull, since)

ROSEMARYDECK_JSON(config_push, since, revision, objects)

ROSEMARYDECK_JSON(reserve_request, id, customer, key, fingerprint, amount)

ROSEMARYDECK_JSON_ENUM(reserve_outcome,
                       {{reserve_outcome::unavailable, "unavailable"},
                        {reserve_outcome::reserved, "reserved"},
                        {reserve_outcome::running, "running"},
                        {reserve_outcome::finished, "finished"},
                        {reserve_outcome::rerun, "rerun"},
                        {reserve_outcome::key_conflict, "key_conflict"},
                        {reserve_outcome::exhausted, "exhausted"},
                        {reserve_outcome::over_limit, "over_limit"}})

ROSEMARYDECK_JSON(reserve_reply, id, outcome, holder, runner, retry_after_ms)

ROSEMARYDECK_JSON_ENUM(key_state, {{key_state::running, "running"},
                                   {key_state::finished, "finished"},
                                   {key_state::released, "released"}})

ROSEMARYDECK_JSON(key_record, key, fingerprint, runner, id, amount, state,
                  charge, stored, reversed, reversal_stored)

ROSEMARYDECK_JSON(settle_request, holder, customer, record)

ROSEMARYDECK_JSON(settle_reply, customer, key, id)

ROSEMARYDECK_JSON(customer_records, customer, used_total, by_holder, records)

ROSEMARYDECK_JSON(witness_put, number, entry)

ROSEMARYDECK_JSON(witness_ack, number, sealed)

ROSEMARYDECK_JSON(customer_key, customer, key)

ROSEMARYDECK_JSON(witness_stored, keys)

ROSEMARYDECK_JSON(running_notice, customer, holder, record)

ROSEMARYDECK_JSON(seal_notice, lost, view, synced, overlap, entries)

ROSEMARYDECK_JSON(witness_synced, number)

ROSEMARYDECK_JSON(billed_key, customer, key, at_us)

ROSEMARYDECK_JSON(billed_digest, until, origin, keys)

ROSEMARYDECK_JSON(digest_reply, until, duplicates)

ROSEMARYDECK_JSON(recall_request, customer, wanted)

ROSEMARYDECK_JSON(recall_reply, customer, returned)

ROSEMARYDECK_JSON(server_notice, server)

ROSEMARYDECK_JSON(shutdown_notice, instance)

} // namespace rosemarydeck
