/** @file peer_message_type.hpp Messages between the VMs' decision cores. */
#pragma once

#include "budget/account_type.hpp"
#include "common/json_type.hpp"
#include "member/member_type.hpp"
#include "object_service/object_call_type.hpp"
#include "request/bill_type.hpp"
#include "timeline/timeline_type.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace rosemarydeck
{

/** Version of the messages; peers of another version are turned away. */
inline constexpr std::uint32_t peer_protocol_version = 1;

/** Regular sign of life. */
struct heartbeat
{
    static constexpr std::string_view name = "heartbeat";
    member_info info;
    hybrid_time when;
    object_version revision = 0; ///< Of the configuration in force.
    bool draining = false;

    bool operator==(const heartbeat&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(heartbeat);

/** Asks a peer for configuration newer than a revision. */
struct config_pull
{
    static constexpr std::string_view name = "config_pull";
    object_version since = 0;

    bool operator==(const config_pull&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(config_pull);

/** Configuration that is complete up to a revision. */
struct config_push
{
    static constexpr std::string_view name = "config_push";
    object_version since = 0;    ///< What the receiver must already have.
    object_version revision = 0; ///< What it has afterwards.
    std::vector<platform_object> objects;

    bool operator==(const config_push&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(config_push);

/** Asks a customer's owner to reserve tokens for a request. */
struct reserve_request
{
    static constexpr std::string_view name = "reserve_request";
    request_id id;
    customer_id customer;
    idempotency_key key;
    std::uint64_t fingerprint = 0; ///< Of the request's content.
    token_count amount = 0;        ///< The most that it can cost.

    bool operator==(const reserve_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(reserve_request);

/** What became of a reservation. */
enum class reserve_outcome
{
    reserved,
    running,      ///< The same key runs at another VM.
    finished,     ///< The same key was answered by a VM.
    rerun,        ///< Already billed; its answer is lost; may run unbilled.
    key_conflict, ///< The same key was used with other content.
    exhausted,    ///< The budget has not enough left.
    unavailable,  ///< The budget can't be reached at present.
    over_limit,   ///< The allowance's rate or concurrency is used up.
};
ROSEMARYDECK_JSON_DECLARE(reserve_outcome);

/** The owner's answer to reserve_request. */
struct reserve_reply
{
    static constexpr std::string_view name = "reserve_reply";
    request_id id;
    reserve_outcome outcome = reserve_outcome::unavailable;
    instance_id holder; ///< Whose grant the reservation is on.
    instance_id runner; ///< Where the same key runs or was answered.
    std::int64_t retry_after_ms = 0;

    bool operator==(const reserve_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(reserve_reply);

/** State of a key at a customer's owner and its witness. */
enum class key_state
{
    running,
    finished, ///< Billed.
    released, ///< Ended without a bill.
};
ROSEMARYDECK_JSON_DECLARE(key_state);

/** One key with its reservation and, in the end, its bill. */
struct key_record
{
    idempotency_key key;
    std::uint64_t fingerprint = 0;
    instance_id runner;
    request_id id; ///< At the runner.
    token_count amount = 0;
    key_state state = key_state::running;
    bill charge;                  ///< Valid when finished.
    bool stored = false;          ///< The platform has the bill.
    bool reversed = false;        ///< Billed elsewhere before; taken back.
    bool reversal_stored = false; ///< The platform has the reversal.

    bool operator==(const key_record&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(key_record);

/** Reports a request's end to the holder of its reservation. */
struct settle_request
{
    static constexpr std::string_view name = "settle_request";
    instance_id holder;
    customer_id customer;
    key_record record; ///< Finished, with the bill, or released.

    bool operator==(const settle_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(settle_request);

/** Two VMs now know the end of this request. */
struct settle_reply
{
    static constexpr std::string_view name = "settle_reply";
    customer_id customer;
    idempotency_key key;
    request_id id;

    bool operator==(const settle_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(settle_reply);

/** Records of one customer on one holder's grant. */
struct customer_records
{
    customer_id customer;
    token_count used_total = 0; ///< All that the holder has spent on it.
    bool by_holder = true;      ///< Told by the holder itself, not by a runner.
    std::vector<key_record> records;

    bool operator==(const customer_records&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_records);

/** A holder's records for its witness; dispatch waits for the answer. */
struct witness_put
{
    static constexpr std::string_view name = "witness_put";
    std::uint64_t number = 0; ///< Grows by one from holder to witness.
    customer_records entry;

    bool operator==(const witness_put&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_put);

/** The witness has the record, or refuses as it has sealed the holder. */
struct witness_ack
{
    static constexpr std::string_view name = "witness_ack";
    std::uint64_t number = 0;
    bool sealed = false;

    bool operator==(const witness_ack&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_ack);

/** One customer's key. */
struct customer_key
{
    customer_id customer;
    idempotency_key key;

    auto operator<=>(const customer_key&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_key);

/** Bills that the platform has stored, so that no heir need store them. */
struct witness_stored
{
    static constexpr std::string_view name = "witness_stored";
    std::vector<customer_key> keys;

    bool operator==(const witness_stored&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_stored);

/** All records that a holder's new witness needs have been sent. */
struct witness_synced
{
    static constexpr std::string_view name = "witness_synced";
    std::uint64_t number = 0; ///< Of the last witness_put.

    bool operator==(const witness_synced&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_synced);

/** Tells a customer's new owner which keys run here. */
struct running_notice
{
    static constexpr std::string_view name = "running_notice";
    customer_id customer;
    instance_id holder;
    key_record record;

    bool operator==(const running_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(running_notice);

/**
 * A VM's seal of a lost holder: it will be no witness to it any more, and
 * this is all that it knows of the customers whose heir the receiver is.
 */
struct seal_notice
{
    static constexpr std::string_view name = "seal_notice";
    instance_id lost;
    std::uint64_t view = 0; ///< Hash of the live set that chose the heirs.
    bool synced = false;    ///< The lost VM had told the sender everything.
    bool overlap = false;   ///< Another loss was not yet dealt with.
    std::vector<customer_records> entries;

    bool operator==(const seal_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(seal_notice);

/** One key that its sender has billed. */
struct billed_key
{
    customer_id customer;
    idempotency_key key;
    std::int64_t at_us = 0; ///< When it was billed.

    bool operator==(const billed_key&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(billed_key);

/** Keys billed by an owner, for owners that it may not have seen. */
struct billed_digest
{
    static constexpr std::string_view name = "billed_digest";
    std::uint64_t until = 0; ///< Place in the sender's list after these.
    instance_id origin;      ///< Who billed them, if not the sender.
    std::vector<billed_key> keys;

    bool operator==(const billed_digest&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(billed_digest);

/** The receiver of a digest has compared it, and names the sender's keys
 * that it had billed before. */
struct digest_reply
{
    static constexpr std::string_view name = "digest_reply";
    std::uint64_t until = 0;
    std::vector<customer_key> duplicates;

    bool operator==(const digest_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(digest_reply);

/** Asks another data centre's owner to give back what it does not need. */
struct recall_request
{
    static constexpr std::string_view name = "recall_request";
    customer_id customer;
    token_count wanted = 0;

    bool operator==(const recall_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(recall_request);

/** Tokens have been given back after a recall. */
struct recall_reply
{
    static constexpr std::string_view name = "recall_reply";
    customer_id customer;
    token_count returned = 0;

    bool operator==(const recall_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(recall_reply);

/** A backend server is leaving. */
struct server_notice
{
    static constexpr std::string_view name = "server_notice";
    server_id server;

    bool operator==(const server_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(server_notice);

/** The sender ends in good order and holds nothing any more. */
struct shutdown_notice
{
    static constexpr std::string_view name = "goodbye";
    instance_id instance;

    bool operator==(const shutdown_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(shutdown_notice);

/** Any message between two cores. */
using peer_message =
    std::variant<heartbeat, config_pull, config_push, reserve_request,
                 reserve_reply, settle_request, settle_reply, witness_put,
                 witness_ack, witness_stored, witness_synced, running_notice,
                 seal_notice, recall_request, recall_reply, billed_digest,
                 digest_reply, server_notice, shutdown_notice>;

} // namespace rosemarydeck
