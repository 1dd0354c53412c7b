#ifndef CHIVEDEAL_FORWARD_TRAFFIC_CONFIG_HPP
#define CHIVEDEAL_FORWARD_TRAFFIC_CONFIG_HPP

#include "chivedeal/forward/caller_limits.hpp"
#include "chivedeal/forward/route.hpp"
#include "chivedeal/forward/service_spec.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

#include <cstdint>
#include <vector>

namespace chivedeal::forward {

/// A complete version of the operator's configuration.
struct traffic_config
{
    /// Increases with each change, not necessarily by one.
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    std::vector<workspace_spec> workspaces;
    caller_limits limits;

    friend bool operator==(const traffic_config&, const traffic_config&) = default;
};

} // namespace chivedeal::forward

#endif
