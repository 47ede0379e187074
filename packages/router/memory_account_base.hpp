/** @file memory_account_base.hpp Memory and connections that peers may make the
 *  process keep. */
#pragma once

#include "common/id_type.hpp"
#include "common/time_type.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace rosemarydeck
{

/** Who opens a connection. A crowd of one kind does not push out the other. */
enum class peer_kind
{
    client, ///< A client, or a VM that passes a client's request on.
    check,  ///< The load balancer, or a reader of the metrics.
    vm,     ///< A VM that lends or borrows tokens.
};

/** What a connection is doing. */
enum class peer_state
{
    idle,     ///< Waiting for a request.
    reading,  ///< A request has begun to arrive.
    served,   ///< A whole request is being handled.
    writing,  ///< An answer is being written.
    refusing, ///< Told that it must leave; about to close.
};

/** Limits of a memory_account. */
struct memory_limits
{
    std::size_t capacity_bytes = 0; ///< All connections together.
    /** Size up to which a connection may use the whole capacity. */
    std::size_t ordinary_bytes = 0;
    /** What larger connections may hold together when one grows whose request
     *  is unfinished. */
    std::size_t max_upload_bytes = 0;
    /** The same for one whose request is handled or answered. */
    std::size_t max_answer_bytes = 0;
    /** Part of it for a connection as such: its fiber and its buffers. */
    std::size_t connection_bytes = 0;
    /** The same for the connection to the engine that handles a request. */
    std::size_t engine_bytes = 0;
    std::size_t max_clients = 0; ///< Open connections of clients.
    /** Requests that are handled, each with a connection to an engine. */
    std::size_t max_handled = 0;
    std::size_t max_checks = 0; ///< Open connections of checks.
    std::size_t max_vms = 0;    ///< Open connections that VMs have opened.

    bool operator==(const memory_limits&) const = default;
};

/** @param memory_bytes Memory of the VM; 0 if unknown.
 *  @param max_descriptors File descriptors that the process may open. */
memory_limits memory_limits_for(std::size_t memory_bytes,
                                std::size_t max_descriptors);

/** @return Largest size, with a copy made meanwhile, of a buffer that doubles
 *  its capacity when it grows, after more bytes are appended.
 *  @param capacity Allocated bytes, of which @p size are used. */
std::size_t grown_bytes(std::size_t size, std::size_t capacity,
                        std::size_t more);

/** A connection in the account. */
struct memory_holder
{
    peer_kind kind = peer_kind::client;
    peer_state state = peer_state::idle;
    std::size_t bytes = 0;
    time_point progress_at{}; ///< Start of the state, or later progress in it.
    std::size_t progress_bytes = 0; ///< Moved since then.
    bool yielding = false;          ///< Was told to free its memory.
    /** Whose request is handled; empty for one without a customer. */
    std::optional<customer_id> customer;
    /** Makes the connection free its memory soon. Must not suspend a fiber or
     *  use the account.
     *  @param at_once Closes the connection before it returns. */
    std::function<void(bool at_once)> yield;
};

using holder_id = std::uint64_t;

/** Result of an attempt to use more memory. */
enum class memory_result
{
    charged,
    wait,    ///< Others were told to free enough; try again soon.
    refused, ///< Nobody that would have to make room holds enough.
};

/**
 * Adds up the memory that connections make this process keep, each charged
 * before it is allocated, and decides who yields when it is short: the
 * connection that has made no progress longest. A connection whose request is
 * handled does not yield, and neither does one that makes progress, unless it
 * is an unfinished request and the memory is needed for an answer. Usable from
 * any thread; connections of one kind are used by one thread.
 */
class memory_account
{
public:
    explicit memory_account(const memory_limits& limits) : limits_(limits) {}

    /** Adds a connection, if need be in the place of another, which is closed.
     *  @return Its number, or 0 if there is no room. */
    holder_id open(peer_kind kind, std::function<void(bool)> yield,
                   time_point now);
    void close(holder_id id);
    void set_state(holder_id id, peer_state state, time_point now);
    /** Bytes were moved to or from the peer. Few bytes are no progress. */
    void record_progress(holder_id id, std::size_t bytes, time_point now);
    /** A customer's request is to be handled on a connection. Once nearly as
     *  many are as may be, or nearly all memory is taken, a customer may have
     *  its equal part of them only; one part is left for another one.
     *  @return False if there is no place for it. */
    bool begin_request(holder_id id, const customer_id& customer);
    void end_request(holder_id id);
    /** Charges a connection's memory beyond its connection_bytes. */
    memory_result charge(holder_id id, std::size_t bytes, time_point now);

    [[nodiscard]] std::size_t used_bytes() const;
    [[nodiscard]] std::size_t connections() const;
    /** @return How many connections had to yield since the process started. */
    [[nodiscard]] std::uint64_t yields() const;
    [[nodiscard]] const memory_limits& limits() const { return limits_; }

private:
    using holders = std::map<holder_id, memory_holder>;

    /** What connections hold, or some of them. */
    struct total
    {
        std::size_t all = 0;
        std::size_t large = 0; ///< Of these, connections beyond ordinary size.
    };

    /** Adds a connection's bytes to a total, or takes them off. */
    void add(total& sum, std::size_t bytes) const;
    void subtract(total& sum, std::size_t bytes) const;
    void remove(holders::iterator at);
    void forget_request(memory_holder& holder);
    /** @return True if a connection may be told to yield to another.
     *  @param for_answer The memory is needed for an answer. */
    [[nodiscard]] bool may_yield(const memory_holder& holder, bool for_answer,
                                 time_point now) const;
    /** Tells connections to yield, or none if all that may do not suffice.
     *  @param after What is held once the connection that asks has grown.
     *  @param max_large What large connections may hold of that.
     *  @return True if enough was told to yield. */
    bool make_room(holders::iterator asking, const total& after,
                   std::size_t max_large, time_point now);
    /** @return The connection of a kind that yields first, or the end.
     *  @param asking Left out, and so are those that were told to yield;
     *         0 if a connection is to be closed for a new one.
     *  @param min_bytes Connections that hold less are left out. */
    holders::iterator choose(holder_id asking, peer_kind kind, bool for_answer,
                             std::size_t min_bytes, time_point now);
    [[nodiscard]] std::size_t max_connections(peer_kind kind) const;
    /** @return True if a new connection fits. */
    [[nodiscard]] bool has_room(peer_kind kind) const;

    memory_limits limits_;
    mutable std::mutex mutex_;
    holders holders_;
    holder_id last_id_ = 0;
    total used_;
    total leaving_; ///< Held by connections that were told to yield.
    std::map<peer_kind, std::size_t> counts_;    ///< Open connections.
    std::map<customer_id, std::size_t> handled_; ///< Requests, none of 0.
    std::size_t handled_total_ = 0;
    std::uint64_t yields_ = 0;
};

} // namespace rosemarydeck
