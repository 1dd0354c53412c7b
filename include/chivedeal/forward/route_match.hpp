#ifndef CHIVEDEAL_FORWARD_ROUTE_MATCH_HPP
#define CHIVEDEAL_FORWARD_ROUTE_MATCH_HPP

#include "chivedeal/forward/route.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

#include <algorithm>
#include <optional>

namespace chivedeal::forward {

/// The route and the workspace of a request. Both pointers are valid as long as the `route_index`
/// that returned them.
struct route_match
{
    const route* matched = nullptr;
    /// Null on public routes and if the configuration has no workspaces.
    const workspace_spec* workspace = nullptr;

    /// Returns the regions that both the route and the workspace allow.
    regions::home_regions homes() const
    {
        return workspace == nullptr ? matched->homes : matched->homes.intersected(workspace->homes);
    }

    /// Returns the request's priority from 0, the highest, to 9. That of the workspace goes first.
    int priority() const
    {
        constexpr int lowest_priority = 9;
        const std::optional<int> own = workspace == nullptr ? std::nullopt : workspace->priority;
        return std::clamp(own.value_or(matched->priority), 0, lowest_priority);
    }
};

} // namespace chivedeal::forward

#endif
