#include "chivedeal/forward/beacon_relay.hpp"

#include <map>

namespace chivedeal::forward {

namespace {

// At three beacons a second a node greets 88 others within two seconds.
constexpr std::size_t most_greeted = 16;

// The node that holds the control lease adds up what all nodes count.
const node_beacon* lease_holder(const std::vector<const node_beacon*>& peers)
{
    const node_beacon* holder = nullptr;
    for (const node_beacon* one : peers)
        if (one->lease_token && (holder == nullptr || *one->lease_token > *holder->lease_token))
            holder = one;
    return holder;
}

} // namespace

beacon_relay::targets beacon_relay::far_targets(const std::vector<const node_beacon*>& peers,
                                                bool direct)
{
    std::map<region_id, std::vector<address>> regions;
    for (const node_beacon* one : peers)
        if (one->region != m_options.region)
            regions[one->region].push_back(one->peers);
    targets chosen;
    for (const auto& [region, nodes] : regions) {
        if (direct)
            chosen.direct.insert(chosen.direct.end(), nodes.begin(), nodes.end());
        else
            chosen.relays.push_back(nodes[m_turn % nodes.size()]);
    }
    ++m_turn;
    const node_beacon* holder = direct ? nullptr : lease_holder(peers);
    if (holder != nullptr && holder->region != m_options.region)
        chosen.direct.push_back(holder->peers);
    return chosen;
}

std::vector<address> beacon_relay::next_candidates(const std::set<address>& candidates)
{
    std::vector<address> all(candidates.begin(), candidates.end());
    if (all.size() <= most_greeted)
        return all;
    std::vector<address> next;
    for (std::size_t i = 0; i < most_greeted; ++i)
        next.push_back(all[m_greeted++ % all.size()]);
    return next;
}

void beacon_relay::pass_on(node_beacon beacon)
{
    beacon.pass_on = false;
    m_passed_on.push_back(std::move(beacon));
}

} // namespace chivedeal::forward
