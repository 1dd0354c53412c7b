#ifndef CHIVEDEAL_FORWARD_ROUTE_INDEX_HPP
#define CHIVEDEAL_FORWARD_ROUTE_INDEX_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/route_match.hpp"
#include "chivedeal/forward/traffic_config.hpp"

#include "absl/container/flat_hash_map.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::forward {

/// Index that looks up the route and the workspace of a request in one configuration version.
class route_index
{
public:
    explicit route_index(traffic_config config);
    route_index(const route_index&) = delete;
    route_index& operator=(const route_index&) = delete;

    const traffic_config& config() const { return m_config; }

    /// Errors: `unknown_route` if no route has the host and a prefix of the path,
    /// `unknown_workspace` if no workspace has the key.
    result<route_match> match(std::string_view host, std::string_view target,
                              const std::string& key) const;

    /// Returns the home regions of all routes of the host that have any.
    regions::home_regions homes_of_host(std::string_view host) const;

    /// Returns the limits of the services whose endpoints may be cold.
    std::map<service_id, regions::cold_spec> cold_specs() const;

    /// Returns null when the configuration has no such service.
    const service_spec* find_service(const service_id& name) const;

private:
    const std::vector<const route*>* find_routes(std::string_view host) const;
    const route* find_route(std::string_view host, std::string_view path) const;

    const traffic_config m_config;
    // Routes of each host, longest path prefix first.
    absl::flat_hash_map<std::string, std::vector<const route*>> m_routes_by_host;
    absl::flat_hash_map<std::string, const workspace_spec*> m_workspaces_by_key;
    absl::flat_hash_map<std::string, const service_spec*> m_services_by_name;
};

} // namespace chivedeal::forward

#endif
