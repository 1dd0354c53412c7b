#include "chivedeal/node/state_announcer.hpp"

#include "chivedeal/membership/gossip_inbox.hpp"
#include "chivedeal/state/cluster_state.hpp"
#include "chivedeal/state/published_state.hpp"

namespace chivedeal {

void state_announcer::on_state(std::shared_ptr<const state::cluster_state> state)
{
    m_gossip.publish_offset(state->applied_offset);
    if (m_published.ready())
        m_gossip.publish_ready();
}

} // namespace chivedeal
