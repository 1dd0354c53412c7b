#ifndef CHIVEDEAL_NODE_STATE_SUBTREE_HPP
#define CHIVEDEAL_NODE_STATE_SUBTREE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/child_spec.hpp"
#include "chivedeal/state/append_queue.hpp"
#include "chivedeal/state/change_tracker.hpp"
#include "chivedeal/state/http_log_service.hpp"
#include "chivedeal/state/keeper_event.hpp"
#include "chivedeal/state/keeper_membership_listener.hpp"
#include "chivedeal/state/published_state.hpp"

#include <vector>

namespace chivedeal::membership {
class peer_client;
}

namespace chivedeal {

class clock;
class control_traffic;
struct settings;

/// Rings and cells of the supervisor `state`; they outlive restarts of its threads.
class state_subtree
{
public:
    struct wires
    {
        std::vector<state::state_listener*> listeners;
        membership::peer_client* peers = nullptr;
    };

    state_subtree(const settings& config, const clock& time, control_traffic& traffic);

    child_spec make_spec(wires links);

    /// Ends long polls, which would delay the stop.
    void stop_log() { m_log.stop(); }

    state::published_state& published() { return m_published; }
    state::record_sink& records() { return m_queue; }
    state::change_tracker& changes() { return m_changes; }
    membership::membership_listener& view_listener() { return m_view_listener; }

private:
    std::vector<child_spec> make_children(const wires& links);

    const settings& m_config;
    const clock& m_clock;
    state::http_log_service m_log;
    state::append_queue m_queue;
    state::published_state m_published;
    state::change_tracker m_changes;
    bounded_ring<state::keeper_event> m_inbox;
    state::keeper_membership_listener m_view_listener;
};

} // namespace chivedeal

#endif
