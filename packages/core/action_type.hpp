/** @file action_type.hpp Actions that a decision core emits. */
#pragma once

#include "core/peer_message_type.hpp"

namespace rosemarydeck
{

/** Why a request was refused or has failed. */
enum class refusal_reason
{
    not_ready, ///< This VM has no configuration yet.
    unknown_api_key,
    target_not_allowed,
    priority_not_allowed,
    too_large,          ///< It may cost more than the allowance's maximum.
    too_many_requests,  ///< The allowance's rate or concurrency is used up.
    overloaded,         ///< Too many requests are open or queued at this VM.
    would_be_late,      ///< The first token would miss its target latency.
    no_server,          ///< No backend server serves the target.
    draining,           ///< This VM is shutting down.
    key_conflict,       ///< The key was used with another content.
    key_in_use,         ///< Key in use at a VM that it can't be relayed to.
    budget_exhausted,   ///< The customer has too few tokens left.
    budget_unavailable, ///< The owner can't reserve tokens at present.
    owner_unavailable,  ///< The customer's owner did not answer.
    claim_unavailable,  ///< The claim could not be made in time.
    server_failed,      ///< The last allowed attempt failed.
    outcome_unknown,    ///< It may have run, and must not run again.
};

/** Whether a request that ends without an answer has run. */
enum class ran_state
{
    no,      ///< No byte of it reached a backend server.
    unknown, ///< It may have run.
};

/** Answers a request with an error. */
struct refuse_request
{
    request_id id;
    refusal_reason reason = refusal_reason::not_ready;
    ran_state ran = ran_state::no;
    std::int64_t retry_after_ms = 0; ///< 0 if a retry would not help.
    bool operator==(const refuse_request&) const = default;
};

/** Answers key_requested with a key that only this instance can claim. */
struct issue_key
{
    request_id id;
    idempotency_key key;
    bool operator==(const issue_key&) const = default;
};

/** Sends a caller the answer of another request of this VM. */
struct join_request
{
    request_id id;
    request_id original; ///< Request whose answer is sent.
    bool operator==(const join_request&) const = default;
};

/** Relays a request to another VM and its answer to the caller. */
struct relay_request
{
    request_id id;
    std::string address;    ///< Address of the other VM.
    std::uint16_t port = 0; ///< Caller port of the other VM.
    bool operator==(const relay_request&) const = default;
};

/** Sends a request to a backend server. */
struct dispatch_attempt
{
    request_id id;
    std::uint32_t attempt = 0; ///< Number of the attempt, from 1.
    server_id server;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t fence = 0; ///< Fencing token, grows with each attempt.
    token_count resume_at_token = 0; ///< Tokens that the caller has received.
    bool operator==(const dispatch_attempt&) const = default;
};

/** Sends the caller the end of the answer, once the bill is recorded. */
struct finish_request
{
    request_id id;
    bool keep = true; ///< Keep the answer for a retry with its key.
    bool operator==(const finish_request&) const = default;
};

/** Sends a message to a peer. */
struct send_peer
{
    instance_id to;
    peer_message message;
    bool operator==(const send_peer&) const = default;
};

/** Calls the platform. */
struct call_platform
{
    call_id call;
    platform_request request;
    bool operator==(const call_platform&) const = default;
};

/** Records an event on the time line. */
struct record_event
{
    timeline_event event;
    bool operator==(const record_event&) const = default;
};

/** Reports that nothing is left to do, so the process may end. */
struct drained
{
    bool operator==(const drained&) const = default;
};

/** Any action of a decision core. */
using core_action =
    std::variant<refuse_request, issue_key, join_request, relay_request,
                 dispatch_attempt, finish_request, send_peer, call_platform,
                 record_event, drained>;

/** @return The name of a reason in answers to callers. */
std::string_view name_of(refusal_reason reason);

} // namespace rosemarydeck
