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

/** Version of the messages; those of another version are not decoded. */
inline constexpr std::uint32_t peer_protocol_version = 1;

/** Shows each member at regular intervals that the sender is live. */
struct heartbeat
{
    static constexpr std::string_view name = "heartbeat";
    member_info info;            ///< The sender.
    hybrid_time when;            ///< Hybrid logical time of sending.
    object_version revision = 0; ///< Revision of the sender's configuration.
    bool draining = false;       ///< The sender is shutting down.

    bool operator==(const heartbeat&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(heartbeat);

/** Asks a peer for configuration newer than a revision. */
struct config_pull
{
    static constexpr std::string_view name = "config_pull";
    object_version since = 0; ///< Revision that the sender has.

    bool operator==(const config_pull&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(config_pull);

/** Sends the configuration objects changed between two revisions. */
struct config_push
{
    static constexpr std::string_view name = "config_push";
    object_version since = 0;    ///< Revision that the receiver needs to have.
    object_version revision = 0; ///< Revision that the receiver has then.
    std::vector<platform_object> objects; ///< The changed objects.

    bool operator==(const config_push&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(config_push);

/** Asks a customer's owner to reserve tokens for a request. */
struct reserve_request
{
    static constexpr std::string_view name = "reserve_request";
    request_id id; ///< Number of the request at the sender.
    customer_id customer;
    idempotency_key key;
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.
    token_count amount = 0;        ///< Tokens that it can cost at most.

    bool operator==(const reserve_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(reserve_request);

/** Result of a reserve_request. */
enum class reserve_outcome
{
    reserved,     ///< The tokens are reserved; the request may run.
    running,      ///< The same key runs at the runner.
    finished,     ///< The same key has finished at the runner.
    rerun,        ///< Billed, but its answer is lost; may run again unbilled.
    key_conflict, ///< The same key was used with another content.
    exhausted,    ///< The customer's budget has too few tokens left.
    unavailable,  ///< No tokens can be reserved at present.
    over_limit,   ///< The allowance's rate or concurrency is used up.
};
ROSEMARYDECK_JSON_DECLARE(reserve_outcome);

/** The owner's answer to reserve_request. */
struct reserve_reply
{
    static constexpr std::string_view name = "reserve_reply";
    request_id id; ///< The id in the reserve_request.
    reserve_outcome outcome = reserve_outcome::unavailable;
    instance_id holder; ///< VM whose grant the reservation is on.
    instance_id runner; ///< VM at which the key runs or has finished.
    std::int64_t retry_after_ms = 0; ///< Pause before a caller's retry.

    bool operator==(const reserve_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(reserve_reply);

/** State of a key's request at the customer's owner and its witness. */
enum class key_state
{
    running,  ///< The tokens are reserved.
    finished, ///< Ended with a bill.
    released, ///< Ended without a bill.
};
ROSEMARYDECK_JSON_DECLARE(key_state);

/** Record of one key: its reservation and, once finished, its bill. */
struct key_record
{
    idempotency_key key;
    /** Hash of method, path and body; 0 if the record stems from a bill. */
    std::uint64_t fingerprint = 0;
    instance_id runner;     ///< VM that runs the request.
    request_id id;          ///< Number of the request at the runner.
    token_count amount = 0; ///< Tokens reserved.
    key_state state = key_state::running;
    bill charge;                  ///< The bill; valid if finished.
    bool stored = false;          ///< The platform has the bill.
    bool reversed = false;        ///< Bill reversed as a duplicate.
    bool reversal_stored = false; ///< The platform has the reversal.

    bool operator==(const key_record&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(key_record);

/** Reports a request's end to the holder of its reservation. */
struct settle_request
{
    static constexpr std::string_view name = "settle_request";
    instance_id holder; ///< VM whose grant the reservation is on.
    customer_id customer;
    key_record record; ///< Finished, with its bill, or released.

    bool operator==(const settle_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(settle_request);

/** Confirms a settle_request: two VMs know the end, if two are live. */
struct settle_reply
{
    static constexpr std::string_view name = "settle_reply";
    customer_id customer;
    idempotency_key key;
    request_id id; ///< Number of the request at the receiver.

    bool operator==(const settle_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(settle_reply);

/** Records of one customer's keys on one holder's grant. */
struct customer_records
{
    customer_id customer;
    token_count used_total = 0; ///< All tokens that the holder has spent.
    bool by_holder = true;      ///< Reported by the holder, not a runner.
    std::vector<key_record> records;

    bool operator==(const customer_records&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_records);

/**
 * Replicates a holder's records to its witness. The holder confirms a
 * reservation or an end to the runner only after the answer.
 */
struct witness_put
{
    static constexpr std::string_view name = "witness_put";
    /** Number of this message among those of the holder to this witness. */
    std::uint64_t number = 0;
    customer_records entry;

    bool operator==(const witness_put&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_put);

/** Answers witness_put: the records are stored, or the holder is sealed. */
struct witness_ack
{
    static constexpr std::string_view name = "witness_ack";
    std::uint64_t number = 0; ///< Number of the witness_put.
    bool sealed = false;      ///< The records were refused.

    bool operator==(const witness_ack&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_ack);

/** A key, which is unique for one customer. */
struct customer_key
{
    customer_id customer;
    idempotency_key key;

    auto operator<=>(const customer_key&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(customer_key);

/** Tells a witness whose bills are stored, so that no heir stores them. */
struct witness_stored
{
    static constexpr std::string_view name = "witness_stored";
    std::vector<customer_key> keys;

    bool operator==(const witness_stored&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_stored);

/** Tells a peer that it was sent all records that it is the witness of. */
struct witness_synced
{
    static constexpr std::string_view name = "witness_synced";
    std::uint64_t number = 0; ///< Number of the last witness_put to it.

    bool operator==(const witness_synced&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(witness_synced);

/**
 * Tells a customer's new owner of a key that runs at the sender, with a
 * reservation on the grant of a holder that is not live.
 */
struct running_notice
{
    static constexpr std::string_view name = "running_notice";
    customer_id customer;
    instance_id holder; ///< VM whose grant the reservation is on.
    key_record record;  ///< The running key.

    bool operator==(const running_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(running_notice);

/**
 * A VM's seal of a lost holder: the sender refuses all further records of the
 * holder. It sends the receiver its records of those customers whose heir the
 * receiver is.
 */
struct seal_notice
{
    static constexpr std::string_view name = "seal_notice";
    instance_id lost;       ///< The sealed holder.
    std::uint64_t view = 0; ///< Hash of the live set that decides the heirs.
    bool synced = false;    ///< The lost VM had sent it witness_synced.
    bool overlap = false;   ///< The sender had another unfinished adoption.
    std::vector<customer_records> entries; ///< The sender's records.

    bool operator==(const seal_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(seal_notice);

/** One key that its sender has billed. */
struct billed_key
{
    customer_id customer;
    idempotency_key key;
    /** Time of the bill, microseconds since the Unix epoch. */
    std::int64_t at_us = 0;

    bool operator==(const billed_key&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(billed_key);

/** Sends keys billed by an owner to a VM that may have billed them too. */
struct billed_digest
{
    static constexpr std::string_view name = "billed_digest";
    std::uint64_t until = 0; ///< Number of the key that follows this digest.
    instance_id origin;      ///< VM that billed them; empty for the sender.
    std::vector<billed_key> keys; ///< The billed keys.

    bool operator==(const billed_digest&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(billed_digest);

/** Answers a digest: names the keys that the answering VM billed first. */
struct digest_reply
{
    static constexpr std::string_view name = "digest_reply";
    std::uint64_t until = 0; ///< As in the digest; 0 if it was forwarded.
    std::vector<customer_key> duplicates; ///< Keys to reverse.

    bool operator==(const digest_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(digest_reply);

/** Asks the owner in another data centre to return unreserved tokens. */
struct recall_request
{
    static constexpr std::string_view name = "recall_request";
    customer_id customer;
    token_count wanted = 0; ///< Tokens that waiting requests need.

    bool operator==(const recall_request&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(recall_request);

/** Answers recall_request once tokens are returned to the account. */
struct recall_reply
{
    static constexpr std::string_view name = "recall_reply";
    customer_id customer;
    token_count returned = 0; ///< Tokens returned; may be 0.

    bool operator==(const recall_reply&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(recall_reply);

/** Reports that a backend server is to get no more requests. */
struct server_notice
{
    static constexpr std::string_view name = "server_notice";
    server_id server;

    bool operator==(const server_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(server_notice);

/** Reports that the sender has shut down, with no grants or requests left. */
struct shutdown_notice
{
    static constexpr std::string_view name = "goodbye";
    instance_id instance; ///< The sender.

    bool operator==(const shutdown_notice&) const = default;
};
ROSEMARYDECK_JSON_DECLARE(shutdown_notice);

/** Any message between two decision cores. */
using peer_message =
    std::variant<heartbeat, config_pull, config_push, reserve_request,
                 reserve_reply, settle_request, settle_reply, witness_put,
                 witness_ack, witness_stored, witness_synced, running_notice,
                 seal_notice, recall_request, recall_reply, billed_digest,
                 digest_reply, server_notice, shutdown_notice>;

} // namespace rosemarydeck
