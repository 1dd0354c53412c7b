#ifndef CHIVEDEAL_NODE_MEMBERSHIP_SUBTREE_HPP
#define CHIVEDEAL_NODE_MEMBERSHIP_SUBTREE_HPP

#include "chivedeal/core/child_spec.hpp"
#include "chivedeal/membership/gossip_inbox.hpp"
#include "chivedeal/membership/http_instance_source.hpp"
#include "chivedeal/membership/peer_link.hpp"
#include "chivedeal/membership/rpc_peer_client.hpp"

#include <vector>

namespace chivedeal::membership {
class membership_listener;
class peer_handler;
} // namespace chivedeal::membership

namespace chivedeal {

class clock;
class control_traffic;
struct settings;

/// Rings and cells of the supervisor `membership`; they outlive restarts of its threads.
class membership_subtree
{
public:
    struct wires
    {
        std::vector<membership::membership_listener*> listeners;
        membership::peer_handler& handler;
    };

    membership_subtree(const settings& config, const clock& time, control_traffic& traffic);

    child_spec make_spec(wires links);

    membership::gossip_inbox& gossip() { return m_inbox; }
    membership::peer_client& peers() { return m_peers; }

private:
    std::vector<child_spec> make_children(const wires& links);

    const settings& m_config;
    const clock& m_clock;
    control_traffic& m_traffic;
    membership::gossip_inbox m_inbox;
    membership::peer_link m_link;
    membership::rpc_peer_client m_peers;
    membership::http_instance_source m_instances;
};

} // namespace chivedeal

#endif
