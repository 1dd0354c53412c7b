#ifndef CHIVEDEAL_FORWARD_FLEET_VIEW_HPP
#define CHIVEDEAL_FORWARD_FLEET_VIEW_HPP

#include "chivedeal/core/id.hpp"

#include <map>

namespace chivedeal::forward {

/// A service's endpoints as the planner sees them.
struct fleet_view
{
    struct zone_counts
    {
        int reclaimable = 0;
        int on_demand = 0;

        friend bool operator==(const zone_counts&, const zone_counts&) = default;
    };

    /// Endpoints that take requests, by zone; zones without any are listed too.
    std::map<zone_id, zone_counts> zones;
    /// Requests under way at all endpoints together.
    int requests = 0;

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace chivedeal::forward

#endif
