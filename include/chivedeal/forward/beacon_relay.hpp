#ifndef CHIVEDEAL_FORWARD_BEACON_RELAY_HPP
#define CHIVEDEAL_FORWARD_BEACON_RELAY_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/node_beacon.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace chivedeal::forward {

/// Selects the nodes of other regions that a beacon is sent to, and queues beacons to relay.
///
/// In a small system, every node sends its beacon directly to all others. In a large one, it sends
/// the beacon to one node of each other region, in rotation, which relays it within that region:
/// traffic between regions is billed by volume, and sending every beacon to every node would grow
/// with the square of the number of nodes.
class beacon_relay
{
public:
    struct options
    {
        region_id region;
        /// With more peers than this, beacons to other regions are relayed.
        std::size_t max_direct_peers = 16;
    };

    explicit beacon_relay(options settings) : m_options(std::move(settings)) {}

    struct targets
    {
        /// Nodes that receive the beacon without relaying it.
        std::vector<address> direct;
        /// Nodes that are asked to relay the beacon in their region.
        std::vector<address> relays;

        friend bool operator==(const targets&, const targets&) = default;
    };

    bool should_relay(std::size_t peer_count) const
    {
        return peer_count > m_options.max_direct_peers;
    }

    /// Returns the nodes of other regions among `peers` that receive the next beacon: all of them
    /// if `direct`, otherwise one relay per region and the lease holder.
    targets cross_region_targets(const std::vector<const node_beacon*>& peers, bool direct);

    /// Returns the candidates that receive the next beacon. Large candidate sets are visited in
    /// rotation, a few at a time, as most of their addresses belong to nodes that no longer exist.
    std::vector<address> next_candidates(const std::set<address>& candidates);

    /// Queues a beacon that its sender asked this node to relay.
    void enqueue(node_beacon beacon);

    /// Returns the queued beacons and clears the queue.
    std::vector<node_beacon> take_pending() { return std::exchange(m_pending, {}); }

private:
    options m_options;
    std::uint64_t m_round = 0;
    std::uint64_t m_next_candidate = 0;
    std::vector<node_beacon> m_pending;
};

} // namespace chivedeal::forward

#endif
