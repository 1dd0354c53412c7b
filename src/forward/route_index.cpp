#include "chivedeal/forward/route_index.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

route_index::route_index(traffic_config config) : m_config(std::move(config))
{
    for (const route& configured : m_config.routes)
        m_routes_by_host[configured.host].push_back(&configured);
    for (auto& [host, routes] : m_routes_by_host)
        std::sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    for (const workspace_spec& workspace : m_config.workspaces)
        for (const std::string& key : workspace.keys)
            m_workspaces_by_key.emplace(key, &workspace);
    for (const service_spec& service : m_config.services)
        m_services_by_name.emplace(service.name.str(), &service);
}

result<route_match> route_index::match(std::string_view host, std::string_view target,
                                       const std::string& key) const
{
    const route* matched = find_route(host, target.substr(0, target.find('?')));
    if (matched == nullptr)
        return error{.code = result_code::unknown_route,
                     .message = "no route matches this host and path"};
    if (matched->is_public || m_config.workspaces.empty())
        return route_match{.matched = matched};
    const auto found = m_workspaces_by_key.find(key);
    if (found == m_workspaces_by_key.end())
        return error{.code = result_code::unknown_workspace,
                     .message = "no workspace has this key"};
    return route_match{.matched = matched, .workspace = found->second};
}

std::map<service_id, regions::cold_spec> route_index::cold_specs() const
{
    std::map<service_id, regions::cold_spec> specs;
    for (const service_spec& service : m_config.services)
        if (service.cold.is_limited())
            specs.emplace(service.name, service.cold);
    return specs;
}

const service_spec* route_index::find_service(const service_id& name) const
{
    const auto found = m_services_by_name.find(name.str());
    return found == m_services_by_name.end() ? nullptr : found->second;
}

regions::home_regions route_index::homes_of_host(std::string_view host) const
{
    regions::home_regions homes;
    if (const auto* routes = find_routes(host))
        for (const route* candidate : *routes)
            homes = homes.united(candidate->homes);
    return homes;
}

const std::vector<const route*>* route_index::find_routes(std::string_view host) const
{
    auto found = m_routes_by_host.find(std::string(host));
    // The port in a Host header identifies the listener, so routes match without it.
    if (found == m_routes_by_host.end() && host.find(':') != std::string_view::npos)
        found = m_routes_by_host.find(std::string(host.substr(0, host.find(':'))));
    return found == m_routes_by_host.end() ? nullptr : &found->second;
}

const route* route_index::find_route(std::string_view host, std::string_view path) const
{
    const auto* routes = find_routes(host);
    if (routes == nullptr)
        return nullptr;
    for (const route* candidate : *routes)
        if (path.substr(0, candidate->path_prefix.size()) == candidate->path_prefix)
            return candidate;
    return nullptr;
}

} // namespace chivedeal::forward
