#ifndef CHIVEDEAL_FORWARD_FLEET_PLANNER_HPP
#define CHIVEDEAL_FORWARD_FLEET_PLANNER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/fleet_order.hpp"
#include "chivedeal/forward/fleet_view.hpp"
#include "chivedeal/forward/scale_spec.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// Decides how many endpoints of each kind a service has in each zone.
///
/// Reclaimable endpoints carry the load; their number is chosen so that the load can still be
/// served after a zone has lost all of its own. On-demand endpoints make up for missing reclaimable
/// ones and are released once those are back.
class fleet_planner
{
public:
    struct options
    {
        service_id service;
        /// Prompt tokens per second that are planned for one endpoint. Engines process about twice
        /// as many, but queues grow long well before that rate.
        double tokens_per_endpoint = 33000;
        /// Additional endpoints for bursts that are shorter than the boot time.
        int spare_endpoints = 2;
        /// Minimum number of endpoints of the service, as a share of the maximum that its
        /// `scale_spec` allows. On few endpoints, prompts of very different size delay each other
        /// even under light load.
        double min_capacity_share = 0.45;
        /// Zones are often reclaimed one after the other. For this long after the last sign of a
        /// reclaim, on-demand endpoints are provided for `at_risk_on_demand_share` of the load.
        absl::Duration reclaim_risk_period = absl::Seconds(8);
        double at_risk_on_demand_share = 0.5;
        /// On-demand endpoints are released no sooner than this after the last increase.
        absl::Duration on_demand_scale_down_delay = absl::Seconds(4);
        /// An order without effect is repeated this long after the boot time.
        absl::Duration order_retry_delay = absl::Seconds(3);
        /// A zone that refused an order is asked again after this delay. When zones are reclaimed
        /// one after the other, a zone may have free endpoints for only a second in between.
        absl::Duration refused_retry_delay = absl::Milliseconds(500);
    };

    explicit fleet_planner(options settings) : m_options(std::move(settings)) {}

    std::vector<fleet_order> plan(const fleet_view& view, const scale_spec& spec, absl::Time now);

    /// The order was refused because the zone has no available endpoint of its kind.
    void on_refused(const fleet_order& order, absl::Time now);
    /// The order failed or its outcome is unknown; it will be repeated.
    void on_failed(const fleet_order& order);

private:
    struct kind_state
    {
        std::optional<int> ordered_count;
        absl::Time ordered_at = absl::InfinitePast();
        absl::Time increased_at = absl::InfinitePast();
        absl::Time retry_not_before = absl::InfinitePast();
        // An order was refused, and no later one has been accepted yet.
        bool availability_unconfirmed = false;
    };

    struct zone_state
    {
        kind_state reclaimable;
        kind_state on_demand;
        int previous_leaving = 0;
    };

    // Endpoints needed for the current load alone.
    int endpoints_for_load(const fleet_view& view) const;
    int required_endpoints(const fleet_view& view, const scale_spec& spec) const;
    kind_state& state_of(const fleet_order& order);
    // Endpoints of the kind that serve now or are expected to within the boot time.
    int expected_serving(const kind_state& state, int serving, const scale_spec& spec,
                         absl::Time now) const;
    void add_order(std::vector<fleet_order>& orders, const fleet_order& order, int serving,
                   const scale_spec& spec, absl::Time now);
    // Whether an order does what it says. The cloud limits both kinds of a zone together, and cuts
    // an order for one down to what the other leaves, even below the number that serves. It releases
    // the newest endpoints first, which are those of a version that is being rolled out.
    bool may_order(const fleet_view& view, const fleet_order& order, const scale_spec& spec);
    void detect_reclaims(const fleet_view& view, absl::Time now);
    // Orders that have not been refused since the last plan count as accepted.
    void confirm_orders();
    std::map<zone_id, int> distribute_on_demand(const fleet_view& view, const scale_spec& spec,
                                                int endpoint_count) const;

    options m_options;
    std::map<zone_id, zone_state> m_zones;
    absl::Time m_last_reclaim_at = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
