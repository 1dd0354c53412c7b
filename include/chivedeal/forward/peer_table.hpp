#ifndef CHIVEDEAL_FORWARD_PEER_TABLE_HPP
#define CHIVEDEAL_FORWARD_PEER_TABLE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/node_beacon.hpp"

#include "absl/time/time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace chivedeal::forward {

/// The nodes that this one hears of.
class peer_table
{
public:
    struct options
    {
        node_id self;
        address self_address;
        /// A node that is silent for longer is no longer listed to callers.
        absl::Duration silence = absl::Milliseconds(2600);
        /// The same for a node whose beacons are passed on: two in a row may get lost with the nodes
        /// that were to pass them on.
        absl::Duration relayed_silence = absl::Milliseconds(4400);
    };

    explicit peer_table(options settings) : m_options(std::move(settings)) {}

    /// An address to greet; it becomes a peer when it answers.
    void add_candidate(const address& candidate);

    /// Returns the beacon before it from the same process, if any. Returns nothing and ignores the
    /// beacon when it is this node's own or older than one known.
    struct accepted
    {
        std::shared_ptr<const node_beacon> before;
        bool is_new = false;
    };
    std::optional<accepted> on_beacon(const node_beacon& beacon, absl::Time now,
                                      bool direct = true);

    /// Nodes that were heard in this time before `now`; others may be gone or cut off.
    std::vector<const node_beacon*> heard_within(absl::Duration span, absl::Time now) const;

    /// Removes the nodes that fell silent and returns them.
    std::vector<node_id> expire(absl::Time now);

    /// Addresses that have not answered yet.
    const std::set<address>& candidates() const { return m_candidates; }

    const std::map<node_id, node_beacon>& beacons() const { return m_beacons; }

private:
    options m_options;
    std::map<node_id, node_beacon> m_beacons;
    std::map<node_id, absl::Time> m_heard;
    // When a node that is not heard of any more counts as silent.
    std::map<node_id, absl::Time> m_silent_at;
    std::set<address> m_candidates;
};

} // namespace chivedeal::forward

#endif
