#ifndef CHIVEDEAL_FORWARD_ROUTE_MATCH_HPP
#define CHIVEDEAL_FORWARD_ROUTE_MATCH_HPP

#include "chivedeal/forward/route.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

namespace chivedeal::forward {

/// The route and the workspace of a request. Both pointers are valid as long as the `route_index`
/// that returned them.
struct route_match
{
    const route* matched = nullptr;
    /// Null on public routes and if the configuration has no workspaces.
    const workspace_spec* workspace = nullptr;
};

} // namespace chivedeal::forward

#endif
