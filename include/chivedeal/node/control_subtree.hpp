#ifndef CHIVEDEAL_NODE_CONTROL_SUBTREE_HPP
#define CHIVEDEAL_NODE_CONTROL_SUBTREE_HPP

#include "chivedeal/control/attempt_sample.hpp"
#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/control/lease_event.hpp"
#include "chivedeal/control/lease_feed.hpp"
#include "chivedeal/control/move_feed.hpp"
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

private:
    std::vector<child_spec> make_children(const wires& links);

    const settings& m_config;
    const clock& m_clock;
    bounded_ring<control::lease_event> m_lease_inbox;
    bounded_ring<control::attempt_sample> m_samples;
    shared_cell<control::held_leases> m_held;
    control::lease_feed m_lease_feed;
    control::move_feed m_move_feed;
};

} // namespace chivedeal

#endif
