/** @file action_type.hpp What a decision core wants done. */
#pragma once

#include "core/peer_message_type.hpp"

namespace rosemarydeck
{

/** Why a request is refused or has failed. */
enum class refusal_reason
{
    not_ready,
    unknown_api_key,
    target_not_allowed,
    priority_not_allowed,
    too_large,
    too_many_requests,
    overloaded,
    would_be_late,
    no_server,
    draining,
    key_conflict,
    key_in_use,
    budget_exhausted,
    budget_unavailable,
    owner_unavailable,
    claim_unavailable,
    server_failed,
    outcome_unknown,
};

/** Whether a refused request has run. */
enum class ran_state
{
    no,      ///< No byte of it reached a backend server.
    unknown, ///< It may have run.
};

/** A final answer other than a backend server's. */
struct refuse_request
{
    request_id id;
    refusal_reason reason = refusal_reason::not_ready;
    ran_state ran = ran_state::no;
    std::int64_t retry_after_ms = 0; ///< 0 when a retry would not help.
    bool operator==(const refuse_request&) const = default;
};

/** A key for an order, good on this instance only. */
struct issue_key
{
    request_id id;
    idempotency_key key;
    bool operator==(const issue_key&) const = default;
};

/** The caller gets the answer of another request of this VM. */
struct join_request
{
    request_id id;
    request_id original;
    bool operator==(const join_request&) const = default;
};

/** The caller is served through another VM. */
struct relay_request
{
    request_id id;
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const relay_request&) const = default;
};

/** The request is to be sent to a backend server. */
struct dispatch_attempt
{
    request_id id;
    std::uint32_t attempt = 0;
    server_id server;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t fence = 0;         ///< Grows with each order of this VM.
    token_count resume_at_token = 0; ///< Tokens that the caller already has.
    bool operator==(const dispatch_attempt&) const = default;
};

/** The end of the answer may be sent; it is billed. */
struct finish_request
{
    request_id id;
    bool keep = true; ///< A retry may ask for the answer again.
    bool operator==(const finish_request&) const = default;
};

/** A message for a peer. */
struct send_peer
{
    instance_id to;
    peer_message message;
    bool operator==(const send_peer&) const = default;
};

/** A call to the platform. */
struct call_platform
{
    call_id call;
    platform_request request;
    bool operator==(const call_platform&) const = default;
};

/** An event for the time line. */
struct record_event
{
    timeline_event event;
    bool operator==(const record_event&) const = default;
};

/** Everything is handed over; the process may end. */
struct drained
{
    bool operator==(const drained&) const = default;
};

/** Anything that a decision core wants done. */
using core_action =
    std::variant<refuse_request, issue_key, join_request, relay_request,
                 dispatch_attempt, finish_request, send_peer, call_platform,
                 record_event, drained>;

/** @return The reason's name as callers see it. */
std::string_view name_of(refusal_reason reason);

} // namespace rosemarydeck
