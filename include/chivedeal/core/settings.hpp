#ifndef CHIVEDEAL_CORE_SETTINGS_HPP
#define CHIVEDEAL_CORE_SETTINGS_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chivedeal {

/// Settings of an entry node. `settings_parser` reads them from flags and environment variables.
struct settings
{
    node_id node;
    region_id region;
    zone_id zone;
    /// For callers and operators.
    address http;
    /// For peers.
    address rpc;
    address platform;
    /// RPC addresses of nodes to contact first.
    std::vector<address> seeds;
    /// Key of each team, by which its changes are signed. From the environment or a file alone.
    std::map<team_id, std::string> team_keys;

    /// How long callers keep an address answer; below the shortest reclaim notice.
    absl::Duration address_ttl = absl::Seconds(5);
    absl::Duration gossip_interval = absl::Seconds(1);
    absl::Duration log_poll_wait = absl::Seconds(10);
    absl::Duration log_timeout = absl::Seconds(3);
    /// How long the platform keeps log records.
    absl::Duration log_retention = absl::Hours(24);
    absl::Duration proposal_timeout = absl::Seconds(5);
    absl::Duration claim_timeout = absl::Seconds(3);
    absl::Duration instance_poll = absl::Milliseconds(500);
    absl::Duration load_poll = absl::Milliseconds(500);
    absl::Duration lease_term = absl::Seconds(15);
    /// Longest time an order is under way; a new lease holder waits it out where engines do not
    /// check fencing.
    absl::Duration max_order_delay = absl::Seconds(5);
    /// How long a stopping node lets streams end before it hands them to peers.
    absl::Duration drain_grace = absl::Seconds(10);

    std::size_t max_streams = 400;
    std::size_t endpoint_workers = 256;
    std::size_t max_request_bytes = 4 * 1024 * 1024;
    /// Memory of the instance in MB, and the descriptors of the process; 0 for those of the machine.
    std::size_t memory_mb = 0;
    std::size_t max_descriptors = 0;
    /// Retries allowed for each first attempt, over the recent past.
    double retry_ratio = 0.2;
};

} // namespace chivedeal

#endif
