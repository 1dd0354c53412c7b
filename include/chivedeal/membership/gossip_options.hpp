#ifndef CHIVEDEAL_MEMBERSHIP_GOSSIP_OPTIONS_HPP
#define CHIVEDEAL_MEMBERSHIP_GOSSIP_OPTIONS_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/membership/node_record.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivedeal::membership {

/// Tuning of the gossip between nodes.
struct gossip_options
{
    /// A restarted node takes a higher incarnation than before, such as the time in seconds.
    node_record self;
    std::vector<address> seeds;
    /// Seed of the random choices.
    std::uint64_t random_seed = 0;
    absl::Duration interval = absl::Seconds(1);
    /// Limit of an ordinary message in encoded bytes. A node sends two messages a second, which
    /// with the RPC framing stays below 2 KB/s.
    std::size_t message_bytes = 560;
    /// Limit of a message to a node that knows little.
    std::size_t catch_up_bytes = 32 * 1024;
    /// Peers that a newly learnt fact is pushed to.
    int push_fanout = 4;
    int indirect_probes = 3;
    /// A suspicion lasts this many intervals for each doubling of the number of nodes, so that a
    /// refutation has time to spread.
    int suspicion_factor = 2;
    /// Ticks between two attempts at a dead node or an unknown seed.
    int retry_ticks = 10;
    /// Dead nodes are forgotten after this; longer than the hour that regions may be cut off.
    absl::Duration tombstone_ttl = absl::Hours(6);
};

} // namespace chivedeal::membership

#endif
