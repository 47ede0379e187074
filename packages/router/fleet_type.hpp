/** @file fleet_type.hpp Router configuration and snapshot of the fleet. */
#pragma once

#include "common/id_type.hpp"
#include "common/time_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarydeck
{

using std::chrono::milliseconds;

/** Traits that a request must have together. */
using trait_combination = std::set<request_trait>;

/** Name of a service, a set of engines that routes send requests to. */
using service_id = strong_string<struct service_tag>;

/** When a request may be sent again after a failure. */
enum class repeat_rule
{
    idempotent, ///< A request may run any number of times.
    once,       ///< A request may run at most once.
    stream,     ///< The answer is an event stream; see route_rule::resumable.
};

/** A service's share of the requests of a route. */
struct service_share
{
    service_id service;
    std::uint32_t weight = 1; ///< Relative to the weights of the others.

    bool operator==(const service_share&) const = default;
};

/** One route of the configuration. */
struct route_rule
{
    std::string name;
    std::string host;   ///< Without port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    repeat_rule repeat = repeat_rule::once;
    /** Time limit for a whole request; 0 if the route sets none. */
    milliseconds timeout{};
    /** Target for the time to the first byte of an answer. An answer that takes
     *  longer counts as late. */
    milliseconds target_latency{};
    int priority = 0; ///< 0 is the most urgent.
    std::vector<service_share> backends;
    std::uint32_t max_attempts = 1; ///< Including the first.
    bool needs_key = true;          ///< Requests must carry an API key.
    bool has_prompt = false; ///< Requests carry prompt parts and token counts.
    bool resumable = false;  ///< A stream can be resumed after an event.
    /** Maximum time between two events of a stream. */
    milliseconds max_event_interval{};
    /** Regions that its requests must not leave; any if empty. */
    std::set<region_id> permitted_regions{};
    /** False if a part is missing without which no request may be served. The
     *  route still hides those with shorter prefixes. */
    bool readable = true;

    bool operator==(const route_rule&) const = default;

    /** @return True if clients may take up a stream that broke off. */
    [[nodiscard]] bool resumable_stream() const
    {
        return repeat == repeat_rule::stream && resumable;
    }
    /** @return True if a request that may have run on one engine may be sent
     *  to another. */
    [[nodiscard]] bool repeatable() const
    {
        return repeat == repeat_rule::idempotent || resumable_stream();
    }
};

/** Capacity of each model engine of a service. */
struct model_engine_rule
{
    std::uint32_t slots = 0;          ///< Requests that run concurrently.
    token_count kv_capacity = 0;      ///< Size of the key-value cache.
    token_count tokens_per_event = 1; ///< Output tokens in a stream event.

    bool operator==(const model_engine_rule&) const = default;
};

/** One service of the configuration. */
struct service_rule
{
    service_id id;
    /** Maximum number of connections to one engine, from all its clients. */
    std::uint32_t max_connections = 0;
    std::optional<model_engine_rule> model; ///< Set if its engines run models.
    /** Requests a second that a cold engine bears from all VMs together; 0 if
     *  coldness sets no limit. */
    double cold_requests_per_s = 0;
    milliseconds cold_start{0}; ///< How long an engine is cold at its start.

    bool operator==(const service_rule&) const = default;
};

/** One customer of the configuration. */
struct customer_rule
{
    customer_id id;
    std::vector<std::string> keys; ///< API keys.
    std::optional<int> priority;   ///< Overrides the route's priority.
    /** Regions that its requests must not leave; any if empty. */
    std::set<region_id> permitted_regions{};
    /** Total of tokens bought; empty if the customer has no budget. */
    std::optional<token_count> prepaid;
    /** False if a part is missing without which no request may be served. */
    bool readable = true;

    bool operator==(const customer_rule&) const = default;
};

/** Limits on the size and duration of what a client sends. */
struct client_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    milliseconds header_timeout{3'000}; ///< For a whole request header.
    milliseconds idle_timeout{15'000};  ///< Between two requests.

    bool operator==(const client_limits&) const = default;
};

/** The whole configuration, in one version. */
struct router_config
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<customer_rule> customers;
    client_limits limits;
    /** False if a route can't be read so far that it is known which requests
     *  it is for. */
    bool routes_complete = true;
    /** False if the keys of some customers can't be read. */
    bool customers_complete = true;
    /** What could not be read. */
    std::vector<std::string> faults{};

    bool operator==(const router_config&) const = default;
};

/** Index of the routes, API keys and services of one configuration.
 *  Immutable. */
class config_index
{
public:
    explicit config_index(router_config config);

    /** @return The indexed configuration. */
    [[nodiscard]] const router_config& config() const { return config_; }
    /** @param host Host name without port.
     *  @param path Path, with or without query.
     *  @return The host's route with the longest matching prefix, or
     *  nullptr. */
    [[nodiscard]] const route_rule* route(std::string_view host,
                                          std::string_view path) const;
    /** @return The customer with an API key, or nullptr. */
    [[nodiscard]] const customer_rule*
    customer_of(const std::string& key) const;
    /** @return The service's rule, or nullptr. */
    [[nodiscard]] const service_rule* service(const service_id& id) const;

private:
    using prefix_map = std::map<std::string, std::size_t, std::less<>>;

    router_config config_;
    std::map<std::string, prefix_map, std::less<>> hosts_;
    std::unordered_map<std::string, std::size_t> keys_;
    std::map<service_id, std::size_t> services_;
};

/** A backend server, as described by its entry in the store. The router calls
 *  every backend server an engine, also one that runs no model. */
struct engine_info
{
    server_id id;
    service_id service;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    dc_id data_centre;
    std::uint32_t slots = 1; ///< Requests that run concurrently.
    bool draining = false;   ///< Takes no new requests.
    software_version software;
    /** Unix time of its start, in milliseconds. */
    std::int64_t started_at_ms = 0;
    /** How long it stays cold, from when the entry was written. */
    milliseconds cold_for{0};

    bool operator==(const engine_info&) const = default;

    /** @return Name of this incarnation: an engine may start again under its
     *  id. */
    [[nodiscard]] server_id incarnation() const
    {
        return started_at_ms == 0 ? id
                                  : server_id(id.value() + "@" +
                                              std::to_string(started_at_ms));
    }
    /** @return Address and port, as in 10.0.0.1:80. */
    [[nodiscard]] std::string endpoint() const
    {
        return address + ":" + std::to_string(port);
    }
};

/** An engine that bears few requests for a while. */
struct cold_engine
{
    double requests_per_s = 0; ///< From all VMs together.
    time_point until{};

    bool operator==(const cold_engine&) const = default;
};

/** What one incarnation of an engine last said of itself. */
struct engine_notice
{
    /** Version of the limit: one more than that of the notice that was known
     *  when the engine named it. */
    std::uint64_t version = 0;
    /** Requests a second that it takes from all VMs together; none if it sets
     *  no limit any more. */
    std::optional<double> limit_per_s;
    bool leaving = false; ///< It is about to stop; never taken back.

    bool operator==(const engine_notice&) const = default;
};

/** Another VM, which may serve requests for this one. */
struct relay_peer
{
    vm_id vm;
    dc_id data_centre;
    std::string address; ///< IP address.
    std::uint16_t port = 0;

    bool operator==(const relay_peer&) const = default;
};

/** Snapshot of the configuration and the fleet for the traffic threads.
 *  Immutable. */
struct fleet_view
{
    std::shared_ptr<const config_index> config;
    /** The configuration in the store's encoding, for other VMs. */
    std::shared_ptr<const std::string> config_text;
    std::map<service_id, std::vector<engine_info>> engines; ///< Sorted by id.
    /** Number of running VMs, this one included; 0 if unknown. */
    std::uint32_t live_vms = 0;
    /** Position of this VM among them by name, from 0. */
    std::uint32_t vm_rank = 0;
    /** Running VMs that take requests for others; without this one. */
    std::vector<relay_peer> relays;
    /** Latest notices, by incarnation of the engine. */
    std::map<server_id, engine_notice> notices;
    /** Cold ones, by incarnation of the engine. */
    std::map<server_id, cold_engine> cold;
    /** Requests with all traits of a combination crash engines and are refused.
     */
    std::vector<trait_combination> blocked;
    /** Of these, the ones of which this VM should send one request. */
    std::vector<trait_combination> trials;
    /** Traits of requests that engines had when they went down. */
    std::set<request_trait> suspected;
};

} // namespace rosemarydeck
