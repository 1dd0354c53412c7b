#ifndef CHIVEDEAL_FORWARD_PEER_TABLE_HPP
#define CHIVEDEAL_FORWARD_PEER_TABLE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/node_beacon.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace chivedeal::forward {

/// The peers of a node and the addresses of possible peers.
class peer_table
{
public:
    struct options
    {
        node_id self;
        address self_address;
        /// A node from which no beacon arrives for longer is removed, and no longer listed to
        /// callers.
        absl::Duration max_silence = absl::Milliseconds(2600);
        /// The same for a node whose beacons are relayed: two in a row may be lost when the nodes
        /// that should relay them fail.
        absl::Duration max_relayed_silence = absl::Milliseconds(4400);
        /// Limits the memory for peers and for candidates, whose names anyone may make up. Ten times
        /// the nodes of the largest deployment.
        std::size_t max_peers = 4096;
    };

    explicit peer_table(options settings) : m_options(std::move(settings)) {}

    /// Adds an address to which beacons are sent. The node becomes a peer when its beacon arrives.
    void add_candidate(const address& candidate);

    struct accepted
    {
        /// The previous beacon of the same process, if any.
        std::shared_ptr<const node_beacon> previous;
        bool is_new = false;
    };
    /// Stores the beacon. Ignores it and returns nothing if it is this node's own, not newer than the
    /// one stored, or from one peer too many.
    std::optional<accepted> on_beacon(const node_beacon& beacon, absl::Time now,
                                      bool direct = true);

    /// Returns the last beacons of the nodes heard from within `span` before `now`; other nodes may
    /// have stopped or be unreachable.
    std::vector<const node_beacon*> heard_within(absl::Duration span, absl::Time now) const;

    /// Removes the nodes that have been silent for too long and returns them.
    std::vector<node_id> expire(absl::Time now);

    /// Addresses from which no beacon has arrived yet.
    const std::set<address>& candidates() const { return m_candidates; }

    const std::map<node_id, node_beacon>& beacons() const { return m_beacons; }

private:
    options m_options;
    std::map<node_id, node_beacon> m_beacons;
    std::map<node_id, absl::Time> m_last_heard;
    // When a node is removed unless another beacon arrives.
    std::map<node_id, absl::Time> m_expires_at;
    std::set<address> m_candidates;
};

} // namespace chivedeal::forward

#endif
