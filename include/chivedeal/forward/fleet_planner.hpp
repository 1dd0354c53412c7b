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
        /// Requests under way for which one endpoint is planned: engines slow each other's
        /// requests down long before their batch is full.
        double requests_per_endpoint = 9;
        /// Endpoints beyond those, for bursts that are shorter than a boot.
        int spare = 2;
        /// Never fewer in all zones together.
        int floor = 16;
        /// The mean of the load over this time counts.
        absl::Duration load_memory = absl::Seconds(4);
        /// An order that shows no effect this long after the boot time is given again.
        absl::Duration order_patience = absl::Seconds(3);
        /// A zone that had no endpoint to give is asked again after this.
        absl::Duration dry_pause = absl::Seconds(3);
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
        absl::Time dry_until = absl::InfinitePast();
    };

    struct zone_state
    {
        kind_state reclaimable;
        kind_state on_demand;
    };

    int needed(int requests, absl::Time now);
    kind_state& state_of(const fleet_order& order);
    // Endpoints of the kind that serve, or will within the boot time.
    int expected(const kind_state& state, int serving, const scale_spec& spec,
                 absl::Time now) const;
    void add_order(std::vector<fleet_order>& orders, const fleet_order& order, int serving,
                   const scale_spec& spec, absl::Time now);
    std::map<zone_id, int> share_on_demand(const fleet_view& view, const scale_spec& spec,
                                           int missing) const;

    options m_options;
    std::map<zone_id, zone_state> m_zones;
    std::map<absl::Time, int> m_loads;
};

} // namespace chivedeal::forward

#endif
