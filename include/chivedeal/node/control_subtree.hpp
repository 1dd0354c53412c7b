#ifndef CHIVEDEAL_NODE_CONTROL_SUBTREE_HPP
#define CHIVEDEAL_NODE_CONTROL_SUBTREE_HPP

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/http_cloud_api.hpp"
#include "chivedeal/control/http_engine_api.hpp"
#include "chivedeal/control/lease_event.hpp"
#include "chivedeal/control/lease_feed.hpp"
#include "chivedeal/control/move_feed.hpp"
#include "chivedeal/control/open_orders.hpp"
#include "chivedeal/control/order_event.hpp"
#include "chivedeal/control/placement_event.hpp"
#include "chivedeal/control/placement_feed.hpp"
#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/child_spec.hpp"
#include "chivedeal/core/shared_cell.hpp"

#include <vector>

namespace chivedeal::membership {
class gossip_port;
}

namespace chivedeal::state {
class record_sink;
}

namespace chivedeal {

class clock;
struct settings;

/// Rings and cells of the supervisor `control`; they outlive restarts of its threads.
class control_subtree
{
public:
    struct wires
    {
        state::record_sink& records;
        membership::gossip_port& gossip;
    };

    control_subtree(const settings& config, const clock& time);

    child_spec make_spec(wires links);

    /// Gives all leases up, before a planned stop.
    void release_leases();

    control::lease_feed& leases() { return m_lease_feed; }
    control::move_feed& moves() { return m_move_feed; }
    control::load_sink& loads() { return m_placement_feed; }

private:
    std::vector<child_spec> make_children(const wires& links);
    child_spec placement_spec(const wires& links);
    child_spec sender_spec();

    const settings& m_config;
    const clock& m_clock;
    bounded_ring<control::lease_event> m_lease_inbox;
    bounded_ring<control::attempt_sample> m_samples;
    shared_cell<control::held_leases> m_held;
    control::lease_feed m_lease_feed;
    control::move_feed m_move_feed;
    bounded_ring<control::placement_event> m_placement_inbox;
    control::placement_feed m_placement_feed;
    bounded_ring<control::order_event> m_order_requests;
    shared_cell<control::open_orders> m_orders;
    control::http_cloud_api m_cloud;
    control::http_engine_api m_engines;
};

} // namespace chivedeal

#endif
