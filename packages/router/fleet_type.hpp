/** @file fleet_type.hpp What operators configure and which engines serve it. */
#pragma once

#include "common/id_type.hpp"

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

/** Name of a service that routes lead to. */
using service_id = strong_string<struct service_tag>;

/** What may be done again after a failure. */
enum class repeat_rule
{
    idempotent, ///< May run any number of times.
    once,       ///< May run at most once for each request.
    stream,     ///< An event stream; resumable only where the route says so.
};

/** One of the services between which a route divides its requests. */
struct service_share
{
    service_id service;
    std::uint32_t weight = 1;

    bool operator==(const service_share&) const = default;
};

/** One route of the configuration. */
struct route_rule
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    repeat_rule repeat = repeat_rule::once;
    milliseconds timeout{};
    milliseconds target_latency{};
    int priority = 0; ///< 0 is the most urgent.
    std::vector<service_share> backends;
    std::uint32_t max_attempts = 1;
    bool needs_key = true;
    bool has_prompt = false; ///< Requests carry prompt parts and token counts.
    bool resumable = false;
    milliseconds max_event_interval{}; ///< Between two events of a stream.

    bool operator==(const route_rule&) const = default;

    /** @return True if a request may go to a second engine after it ran. */
    [[nodiscard]] bool repeatable() const
    {
        return repeat == repeat_rule::idempotent ||
               (repeat == repeat_rule::stream && resumable);
    }
};

/** What a service's model engines can do. */
struct model_engine_rule
{
    std::uint32_t slots = 0;
    token_count kv_capacity = 0;
    token_count tokens_per_event = 1;

    bool operator==(const model_engine_rule&) const = default;
};

/** One service of the configuration. */
struct service_rule
{
    service_id id;
    std::uint32_t max_connections = 0; ///< Of one engine, from all callers.
    std::optional<model_engine_rule> model;

    bool operator==(const service_rule&) const = default;
};

/** One customer of the configuration. */
struct customer_rule
{
    customer_id id;
    std::vector<std::string> keys;
    std::optional<int> priority;        ///< Goes before the route's.
    std::optional<token_count> prepaid; ///< None: no budget applies.

    bool operator==(const customer_rule&) const = default;
};

/** Bounds on what a client may send, and how slowly. */
struct client_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    bool operator==(const client_limits&) const = default;
};

/** One version of the whole configuration. */
struct router_config
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<customer_rule> customers;
    client_limits limits;

    bool operator==(const router_config&) const = default;
};

/** Looks up routes, keys and services of one configuration. Immutable. */
class config_index
{
public:
    explicit config_index(router_config config);

    /** @return The configuration that is indexed. */
    [[nodiscard]] const router_config& config() const { return config_; }
    /** @param host Without port. @param path May have a query.
     *  @return The route with the longest prefix, or nullptr. */
    [[nodiscard]] const route_rule* route(std::string_view host,
                                          std::string_view path) const;
    /** @return The customer that holds a key, or nullptr. */
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

/** One backend server as its entry describes it. */
struct engine_info
{
    server_id id;
    service_id service;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    dc_id data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    std::int64_t started_at_ms =
        0; ///< Unix time of its start, in milliseconds.

    bool operator==(const engine_info&) const = default;

    /** @return Address and port as text. */
    [[nodiscard]] std::string endpoint() const
    {
        return address + ":" + std::to_string(port);
    }
};

/** All that traffic needs to know at one moment. Immutable. */
struct fleet_view
{
    std::shared_ptr<const config_index> config;
    std::map<service_id, std::vector<engine_info>> engines; ///< Sorted by id.
    std::uint32_t live_vms = 0; ///< Of the fleet, with this one; 0: unknown.
    std::set<request_fingerprint> blocked;   ///< They crash engines.
    std::set<request_fingerprint> suspected; ///< Seen at a crash by this VM.
};

} // namespace rosemarydeck
