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
/// Reclaimable endpoints carry the load, with enough of them that the loss of a whole zone's leaves
/// what the load needs. On-demand endpoints fill in while reclaimable ones are short, and go when
/// those are back.
class fleet_planner
{
public:
    struct options
    {
        service_id service;
        /// Prompt tokens a second for which one endpoint is planned. Engines read about twice as
        /// many; queues grow long before that.
        double tokens_per_endpoint = 33000;
        /// Endpoints beyond those, for bursts that are shorter than a boot.
        int spare = 2;
        /// Never fewer than this part of what the bounds allow: prompts of very different size
        /// get in each other's way on few endpoints, also under little load.
        double floor_share = 0.45;
        /// Zones are often taken one after the other; for this long after the last sign of it
        /// on-demand endpoints stand by for `cover` of the load.
        absl::Duration reclaim_memory = absl::Seconds(8);
        double cover = 0.5;
        /// On-demand endpoints are given up no sooner than this after the last were ordered.
        absl::Duration hold = absl::Seconds(4);
        /// An order that shows no effect this long after the boot time is given again.
        absl::Duration order_patience = absl::Seconds(3);
        /// A zone that had no endpoint to give is asked again after this. Zones that are reclaimed
        /// one after the other have some for a second in between; a pause of three seconds missed
        /// that in a sixth of the plays of one day.
        absl::Duration dry_pause = absl::Milliseconds(500);
    };

    explicit fleet_planner(options settings) : m_options(std::move(settings)) {}

    std::vector<fleet_order> plan(const fleet_view& view, const scale_spec& spec, absl::Time now);

    /// No endpoint of the kind is to be had in the zone.
    void on_refused(const fleet_order& order, absl::Time now);
    /// The order's outcome is unknown or it failed; it is given again.
    void on_failed(const fleet_order& order);

private:
    struct kind_state
    {
        std::optional<int> ordered;
        absl::Time ordered_at = absl::InfinitePast();
        absl::Time raised_at = absl::InfinitePast();
        absl::Time dry_until = absl::InfinitePast();
        // The zone was dry when it was last asked.
        bool doubtful = false;
    };

    struct zone_state
    {
        kind_state reclaimable;
        kind_state on_demand;
        int leaving = 0;
    };

    // Endpoints that the load takes.
    int carrying(const fleet_view& view) const;
    int needed(const fleet_view& view, const scale_spec& spec) const;
    kind_state& state_of(const fleet_order& order);
    // Endpoints of the kind that serve, or will within the boot time.
    int expected(const kind_state& state, int serving, const scale_spec& spec,
                 absl::Time now) const;
    void add_order(std::vector<fleet_order>& orders, const fleet_order& order, int serving,
                   const scale_spec& spec, absl::Time now);
    void note_reclaims(const fleet_view& view, absl::Time now);
    // An order that wasn't refused since the last plan is taken for accepted.
    void trust_orders();
    std::map<zone_id, int> share_on_demand(const fleet_view& view, const scale_spec& spec,
                                           int missing) const;

    options m_options;
    std::map<zone_id, zone_state> m_zones;
    absl::Time m_reclaimed = absl::InfinitePast();
};

} // namespace chivedeal::forward

#endif
