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

/// Builds the placement snapshot of a region and passes it to the placement policy.
///
/// Demand and capacity are counted in endpoints: an endpoint with all slots in use is a demand of
/// 1.
class placement_planner
{
public:
    struct options
    {
        region_id region;
        placement_policy::options policy = {};
        /// Time constant of the load average, so that one report of a burst does not start
        /// instances.
        absl::Duration load_averaging_window = absl::Seconds(30);
        /// Time until all nodes know that an endpoint is leaving and its report includes their last
        /// requests.
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

    /// Records leaving endpoints and reclaims of a view. Call it whether or not the lease is held.
    void observe(const membership::membership_view& view, absl::Time now);

    placement_snapshot build_snapshot(const input& inputs, absl::Time now) const;

    /// Returns the commands of the policy, without starts that would exceed `max_endpoints` of a
    /// service.
    std::vector<placement_command> decide(const input& inputs, const placement_snapshot& snapshot,
                                          absl::Time now);

private:
    struct load_entry
    {
        /// Average of the open requests divided by the slots.
        double utilization = 0;
        int open_requests = 0;
        /// Monotonic time at which the endpoint measured the load.
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
    /// Endpoints that have appeared in any view; identifiers are never reused.
    std::set<endpoint_id> m_known_endpoints;
    absl::Time m_observed_at = absl::InfinitePast();
};

/// Returns whether placement manages any service of the state.
bool has_placed_service(const state::cluster_state& state);

} // namespace chivedeal::control

#endif
