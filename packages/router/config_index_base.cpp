/** @file config_index_base.cpp Lookup of routes, API keys and services. */
#include "router/fleet_type.hpp"

namespace rosemarydeck
{

config_index::config_index(router_config config) : config_(std::move(config))
{
    for (std::size_t at = 0; at < config_.routes.size(); ++at) {
        const auto& route = config_.routes[at];
        hosts_[route.host].emplace(route.prefix, at);
    }
    for (std::size_t at = 0; at < config_.customers.size(); ++at)
        for (const auto& key : config_.customers[at].keys)
            keys_.emplace(key, at);
    for (std::size_t at = 0; at < config_.services.size(); ++at)
        services_.emplace(config_.services[at].id, at);
}

const route_rule* config_index::route(std::string_view host,
                                      std::string_view path) const
{
    const auto prefixes = hosts_.find(host);
    if (prefixes == hosts_.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Every prefix ends with a slash, so a match ends at a slash of the path.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos
                            : path.rfind('/', slash - 1)) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &config_.routes[found->second];
    }
    return nullptr;
}

const customer_rule* config_index::customer_of(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &config_.customers[found->second];
}

const service_rule* config_index::service(const service_id& id) const
{
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr
                                    : &config_.services[found->second];
}

} // namespace rosemarydeck
