#ifndef CHIVEDEAL_CONTROL_PLACEMENT_CONTROLLER_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_CONTROLLER_HPP

#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/open_orders.hpp"
#include "chivedeal/control/order_event.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/control/placement_planner.hpp"
#include "chivedeal/control/pool_price.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace chivedeal {
class clock;
}
namespace chivedeal::membership {
class gossip_port;
}

namespace chivedeal::control {

class cloud_api;
class move_feed;

/// Thread that runs the placement planner periodically while this node holds the placement lease of
/// the region, and turns its commands into requests to the order sender.
class placement_controller : public duty
{
public:
    struct options
    {
        const clock& time;
        /// For example `placement_scope(region)`.
        std::string scope;
        bounded_ring<placement_event>& inbox;
        const move_feed& feed;
        const shared_cell<control::held_leases>& held_leases;
        cloud_api& cloud;
        membership::gossip_port& gossip;
        const shared_cell<open_orders>& orders;
        /// Inbox of the order sender.
        bounded_ring<order_event>& order_requests;
        placement_planner::options planner;
        /// Time after the start of a tenure by which the instance list contains every start of the
        /// previous holder.
        absl::Duration instance_list_delay = absl::Seconds(7);
    };

    explicit placement_controller(options wiring);

    std::string name() const override { return "placement_controller"; }
    void run() override;
    void request_stop() override;

private:
    void evaluate();
    bool is_settled(const held_lease& lease, const open_orders& orders);
    void refresh_prices();
    void execute(const placement_command& command, const placement_snapshot& snapshot);
    void log_decision(const placement_command& command, const placement_snapshot& snapshot);
    void push(const order_event& request);

    options m_options;
    placement_planner m_planner;
    std::vector<pool_price> m_prices;
    absl::Time m_next_price_refresh = absl::InfinitePast();
    std::uint64_t m_start_requests_pushed;
    absl::Time m_last_push = absl::InfinitePast();
    /// Stops that have been logged, so that each is logged once although the planner repeats it
    /// until the instance is gone.
    std::set<instance_id> m_logged_stops;
};

} // namespace chivedeal::control

#endif
