#ifndef CHIVEDEAL_FORWARD_ROUTE_INDEX_HPP
#define CHIVEDEAL_FORWARD_ROUTE_INDEX_HPP

#include "chivedeal/core/result.hpp"
#include "chivedeal/forward/route_match.hpp"
#include "chivedeal/forward/traffic_config.hpp"

#include "absl/container/flat_hash_map.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivedeal::forward {

/// Finds the route and the workspace of a request in one version of the configuration.
class route_index
{
public:
    explicit route_index(traffic_config config);
    route_index(const route_index&) = delete;
    route_index& operator=(const route_index&) = delete;

    const traffic_config& config() const { return m_config; }

    /// Errors: `unknown_route` when no prefix fits, `unknown_workspace` when the key isn't known.
    result<route_match> match(std::string_view host, std::string_view target,
                              const std::string& key) const;

    /// Returns null when the configuration has no such service.
    const service_spec* find_service(const service_id& name) const;

private:
    const route* find_route(std::string_view host, std::string_view path) const;

    const traffic_config m_config;
    // Routes of a host by falling length of their prefix.
    absl::flat_hash_map<std::string, std::vector<const route*>> m_by_host;
    absl::flat_hash_map<std::string, const workspace_spec*> m_by_key;
    absl::flat_hash_map<std::string, const service_spec*> m_services;
};

} // namespace chivedeal::forward

#endif
