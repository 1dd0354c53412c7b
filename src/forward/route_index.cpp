#include "chivedeal/forward/route_index.hpp"

#include <algorithm>
#include <utility>

namespace chivedeal::forward {

route_index::route_index(traffic_config config) : m_config(std::move(config))
{
    for (const route& one : m_config.routes)
        m_by_host[one.host].push_back(&one);
    for (auto& [host, routes] : m_by_host)
        std::sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    for (const workspace_spec& workspace : m_config.workspaces)
        for (const std::string& key : workspace.keys)
            m_by_key.emplace(key, &workspace);
    for (const service_spec& service : m_config.services)
        m_services.emplace(service.name.str(), &service);
}

result<route_match> route_index::match(std::string_view host, std::string_view target,
                                       const std::string& key) const
{
    const route* matched = find_route(host, target.substr(0, target.find('?')));
    if (matched == nullptr)
        return error{.code = result_code::unknown_route, .message = "no route has this path"};
    if (matched->is_public || m_config.workspaces.empty())
        return route_match{.matched = matched};
    const auto found = m_by_key.find(key);
    if (found == m_by_key.end())
        return error{.code = result_code::unknown_workspace,
                     .message = "no workspace has this key"};
    return route_match{.matched = matched, .workspace = found->second};
}

const service_spec* route_index::find_service(const service_id& name) const
{
    const auto found = m_services.find(name.str());
    return found == m_services.end() ? nullptr : found->second;
}

const route* route_index::find_route(std::string_view host, std::string_view path) const
{
    auto found = m_by_host.find(std::string(host));
    // A port in the host header names the listener, not the route.
    if (found == m_by_host.end() && host.find(':') != std::string_view::npos)
        found = m_by_host.find(std::string(host.substr(0, host.find(':'))));
    if (found == m_by_host.end())
        return nullptr;
    for (const route* one : found->second)
        if (path.substr(0, one->path_prefix.size()) == one->path_prefix)
            return one;
    return nullptr;
}

} // namespace chivedeal::forward
