#include "chivedeal/forward/beacon_relay.hpp"

#include <map>

namespace chivedeal::forward {

namespace {

// Limits the datagrams sent with each beacon. At three beacons per second, a node in a system of 89
// nodes still sends to all others within two seconds.
constexpr std::size_t max_candidates_per_beacon = 16;

// The node that holds the control lease aggregates the counters of all nodes.
const node_beacon* lease_holder(const std::vector<const node_beacon*>& peers)
{
    const node_beacon* holder = nullptr;
    for (const node_beacon* peer : peers)
        if (peer->lease_token && (holder == nullptr || *peer->lease_token > *holder->lease_token))
            holder = peer;
    return holder;
}

} // namespace

beacon_relay::targets
beacon_relay::cross_region_targets(const std::vector<const node_beacon*>& peers, bool direct)
{
    std::map<region_id, std::vector<address>> regions;
    for (const node_beacon* peer : peers)
        if (peer->region != m_options.region)
            regions[peer->region].push_back(peer->peer_address);
    targets chosen;
    for (const auto& [region, nodes] : regions) {
        if (direct)
            chosen.direct.insert(chosen.direct.end(), nodes.begin(), nodes.end());
        else
            chosen.relays.push_back(nodes[m_round % nodes.size()]);
    }
    ++m_round;
    const node_beacon* holder = direct ? nullptr : lease_holder(peers);
    if (holder != nullptr && holder->region != m_options.region)
        chosen.direct.push_back(holder->peer_address);
    return chosen;
}

std::vector<address> beacon_relay::next_candidates(const std::set<address>& candidates)
{
    std::vector<address> all(candidates.begin(), candidates.end());
    if (all.size() <= max_candidates_per_beacon)
        return all;
    std::vector<address> next;
    for (std::size_t i = 0; i < max_candidates_per_beacon; ++i)
        next.push_back(all[m_next_candidate++ % all.size()]);
    return next;
}

void beacon_relay::enqueue(node_beacon beacon)
{
    beacon.relay_in_region = false;
    m_pending.push_back(std::move(beacon));
}

} // namespace chivedeal::forward
