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
        /// Reclaimable endpoints that have announced their end.
        int reclaimable_leaving = 0;

        friend bool operator==(const zone_counts&, const zone_counts&) = default;
    };

    /// Endpoints that take requests, by zone; zones without any are listed too.
    std::map<zone_id, zone_counts> zones;
    /// Prompt tokens a second that callers ask for.
    double tokens_per_second = 0;

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace chivedeal::forward

#endif
