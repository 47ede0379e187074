/** @file event_type.hpp Events that a decision core handles. */
#pragma once

#include "core/peer_message_type.hpp"
#include "server_selection/server_directory_base.hpp"

namespace rosemarydeck
{

/** A caller's request that was read completely and is well-formed. */
struct caller_request
{
    request_id id; ///< Unique in one run of the daemon.
    std::string api_key;
    idempotency_key key;           ///< Empty if the caller sent none.
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.
    std::uint64_t prefix_hash = 0; ///< Hash of the prompt's start.
    target_id target;
    server_kind kind = server_kind::engine;
    priority rank = priority::standard;
    bool repeatable = true; ///< May run more than once.
    bool relayed = false;   ///< Relayed by another VM.
    /** Upper bound of the prompt's tokens with any tokenizer. */
    token_count max_prompt_tokens = 0;
    /** Maximum of output tokens that the caller asks for; 0 if unset. */
    token_count max_output = 0;

    bool operator==(const caller_request&) const = default;
};

/** The caller has closed its connection. */
struct caller_disconnected
{
    request_id id;
    bool operator==(const caller_disconnected&) const = default;
};

/** A caller asks for a key for a request that may run only once. */
struct key_requested
{
    request_id id;
    std::string api_key;
    bool operator==(const key_requested&) const = default;
};

/** A kept answer was dropped to free memory. */
struct answer_dropped
{
    request_id id;
    bool operator==(const answer_dropped&) const = default;
};

/** The first token of an attempt has arrived. */
struct attempt_first_token
{
    request_id id;
    std::uint32_t attempt = 0;
    bool operator==(const attempt_first_token&) const = default;
};

/** An attempt was successful; the caller has not got the answer's end. */
struct attempt_finished
{
    request_id id;
    std::uint32_t attempt = 0;
    token_usage usage;
    bool operator==(const attempt_finished&) const = default;
};

/** How an attempt failed. */
enum class attempt_failure
{
    not_sent,  ///< No byte of it reached the backend server.
    broken,    ///< The connection broke after bytes were sent.
    timed_out, ///< The server sent nothing in time.
    rejected,  ///< The server answered that it did not run it.
};

/** An attempt has failed. */
struct attempt_failed
{
    request_id id;
    std::uint32_t attempt = 0;
    attempt_failure failure = attempt_failure::broken;
    token_count delivered = 0; ///< Tokens sent to the caller so far.
    bool operator==(const attempt_failed&) const = default;
};

/** A peer has sent a message. */
struct peer_received
{
    instance_id from;
    peer_message message;
    bool operator==(const peer_received&) const = default;
};

/** A connection to a peer is ready for use. */
struct peer_connected
{
    member_info info;
    bool operator==(const peer_connected&) const = default;
};

/** A connection to a peer is lost. */
struct peer_disconnected
{
    instance_id instance;
    bool operator==(const peer_disconnected&) const = default;
};

/** The platform has answered a call, or did not answer in time. */
struct platform_answered
{
    call_id call;
    platform_result result;
    bool operator==(const platform_answered&) const = default;
};

/** A backend server has reported its load. */
struct server_reported
{
    server_id server;
    load_report load;
    bool operator==(const server_reported&) const = default;
};

/** An operator takes a backend server out of service. */
struct drain_server
{
    server_id server;
    bool operator==(const drain_server&) const = default;
};

/** This VM is to finish its work and shut down. */
struct drain_self
{
    bool operator==(const drain_self&) const = default;
};

/** The time of the next timer has come. */
struct clock_tick
{
    bool operator==(const clock_tick&) const = default;
};

/** Any event that a decision core handles. */
using core_event =
    std::variant<caller_request, caller_disconnected, key_requested,
                 answer_dropped, attempt_first_token, attempt_finished,
                 attempt_failed, peer_received, peer_connected,
                 peer_disconnected, platform_answered, server_reported,
                 drain_server, drain_self, clock_tick>;

} // namespace rosemarydeck
