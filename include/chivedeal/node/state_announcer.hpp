#ifndef CHIVEDEAL_NODE_STATE_ANNOUNCER_HPP
#define CHIVEDEAL_NODE_STATE_ANNOUNCER_HPP

#include "chivedeal/state/state_listener.hpp"

namespace chivedeal::membership {
class gossip_inbox;
}

namespace chivedeal::state {
class published_state;
}

namespace chivedeal {

/// Tells peers how far this node has applied the log, and that it is ready.
class state_announcer : public state::state_listener
{
public:
    state_announcer(const state::published_state& published, membership::gossip_inbox& gossip)
        : m_published(published), m_gossip(gossip)
    {}

    void on_applied(const state::applied_record& /*applied*/) override {}
    void on_state(std::shared_ptr<const state::cluster_state> state) override;

private:
    const state::published_state& m_published;
    membership::gossip_inbox& m_gossip;
};

} // namespace chivedeal

#endif
