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

/// Decides which nodes of other regions get a beacon, and which beacons are passed on.
///
/// Few nodes hear each other directly. Among many, a node tells one node of each other region in
/// turn, and that one passes the beacon on within its region: traffic between regions is paid by
/// volume, and beacons to all would grow with the square of the number of nodes.
class beacon_relay
{
public:
    struct options
    {
        region_id region;
        /// Up to this many peers hear each other directly.
        std::size_t few_peers = 16;
    };

    explicit beacon_relay(options settings) : m_options(std::move(settings)) {}

    struct targets
    {
        /// Nodes that get the beacon for themselves.
        std::vector<address> direct;
        /// Nodes that pass it on.
        std::vector<address> relays;

        friend bool operator==(const targets&, const targets&) = default;
    };

    bool is_relayed(std::size_t peers) const { return peers > m_options.few_peers; }

    /// Of `peers`, the nodes of other regions that get the next beacon: all of them if `direct`, or
    /// those that pass it on, and the lease holder.
    targets far_targets(const std::vector<const node_beacon*>& peers, bool direct);

    /// The addresses that are greeted next, a few in turn: most of many are of nodes that are gone.
    std::vector<address> next_candidates(const std::set<address>& candidates);

    /// Keeps a beacon that its sender asked this node to pass on.
    void pass_on(node_beacon beacon);

    /// Returns the beacons to pass on in the own region, and forgets them.
    std::vector<node_beacon> take_passed_on() { return std::exchange(m_passed_on, {}); }

private:
    options m_options;
    std::uint64_t m_turn = 0;
    std::uint64_t m_greeted = 0;
    std::vector<node_beacon> m_passed_on;
};

} // namespace chivedeal::forward

#endif
