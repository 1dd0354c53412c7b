#ifndef CHIVEDEAL_CONTROL_PLACEMENT_PLANNER_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_PLANNER_HPP

#include "chivedeal/control/open_orders.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/control/placement_policy.hpp"
#include "chivedeal/control/placement_snapshot.hpp"
#include "chivedeal/control/pool_price.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace chivedeal::membership {
struct endpoint;
struct membership_view;
} // namespace chivedeal::membership

namespace chivedeal::state {
struct cluster_state;
struct service;
} // namespace chivedeal::state

namespace chivedeal::control {

/// Builds the placement look of a region and passes it to the placement policy.
///
/// Demand and capacity are counted in endpoints: an endpoint with all slots taken is a demand of 1.
class placement_planner
{
public:
    struct options
    {
        region_id region;
        placement_policy::options policy = {};
        /// Load is averaged over this time, so that one report of a burst starts nothing.
        absl::Duration load_averaging_window = absl::Seconds(30);
        /// Time until all nodes know that an endpoint is leaving and their last requests to it
        /// show in its report.
        absl::Duration drain_settle_time = absl::Seconds(10);
    };

    struct input
    {
        std::shared_ptr<const state::cluster_state> state;
        std::shared_ptr<const membership::membership_view> view;
        std::vector<pool_price> prices;
        std::shared_ptr<const open_orders> orders;
    };

    explicit placement_planner(options settings);

    void handle(const placement_event& event, absl::Time now);

    /// Learns from a view what is leaving; call it with and without the lease.
    void observe(const membership::membership_view& view, absl::Time now);

    placement_snapshot build_snapshot(const input& inputs, absl::Time now) const;

    /// Decides on a look; starts above a service's `max_endpoints` are left out.
    std::vector<placement_command> decide(const input& inputs, const placement_snapshot& snapshot,
                                          absl::Time now);

private:
    struct load_entry
    {
        double utilization = 0;
        int open_requests = 0;
        /// When the endpoint measured it.
        absl::Time measured_at = absl::InfinitePast();
    };

    instance_phase phase_of(const membership::endpoint& endpoint, absl::Time now) const;
    void add_instances(const input& inputs, absl::Time now, placement_snapshot& snapshot) const;
    void add_demands(const input& inputs, const state::service& service,
                     placement_snapshot& snapshot) const;

    options m_options;
    placement_policy m_policy;
    std::map<endpoint_id, load_entry> m_loads;
    std::map<endpoint_id, absl::Time> m_leaving_since;
    std::map<instance_pool, absl::Time> m_last_reclaim;
    /// Endpoints that any view has shown; identifiers are not used again.
    std::set<endpoint_id> m_known_endpoints;
    absl::Time m_observed_at = absl::InfinitePast();
};

/// Whether any service of the state is to be placed.
bool has_placed_service(const state::cluster_state& state);

} // namespace chivedeal::control

#endif
