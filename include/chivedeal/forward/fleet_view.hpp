#ifndef CHIVEDEAL_FORWARD_FLEET_VIEW_HPP
#define CHIVEDEAL_FORWARD_FLEET_VIEW_HPP

#include "chivedeal/core/id.hpp"

#include <map>

namespace chivedeal::forward {

/// Endpoint counts and load of a service, as input for the planner.
struct fleet_view
{
    struct zone_counts
    {
        int reclaimable = 0;
        int on_demand = 0;
        /// Reclaimable endpoints that have announced that they will stop.
        int reclaimable_leaving = 0;

        friend bool operator==(const zone_counts&, const zone_counts&) = default;
    };

    /// Endpoints that accept requests, by zone; zones without endpoints are listed as well.
    std::map<zone_id, zone_counts> zones;
    /// A new version of the service is being rolled out. Its endpoints start beside the old ones
    /// and are among those counted.
    bool rollout_running = false;
    /// Prompt tokens per second that callers request.
    double tokens_per_second = 0;

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace chivedeal::forward

#endif
