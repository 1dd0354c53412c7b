#ifndef CHIVEDEAL_FORWARD_NODE_BEACON_HPP
#define CHIVEDEAL_FORWARD_NODE_BEACON_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/endpoint_load.hpp"
#include "chivedeal/forward/usage_report.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivedeal::forward {

/// What a node tells its peers, several times a second.
struct node_beacon
{
    node_id node;
    /// Start of the process, in microseconds since 1970; a later one replaces the node.
    std::int64_t started_us = 0;
    std::uint64_t sequence = 0;
    address front;
    address peers;
    region_id region;
    bool ready = false;
    bool leaving = false;
    /// Calendar time at the sender.
    std::int64_t wall_us = 0;
    /// Fencing token of the control lease that it holds.
    std::optional<std::uint64_t> lease_token;
    /// Cost admitted of each workspace since its start.
    std::map<workspace_id, double> admitted;
    std::vector<endpoint_load> loads;
    /// Prompt tokens that callers asked each service to read, since the node's start.
    std::map<service_id, std::int64_t> asked_tokens;
    std::vector<version_outcomes> outcomes;
    /// Requests that began on it in the newest windows.
    std::vector<usage_report> usage;
    /// Peers that it knows, so that a node learns of others without the store.
    std::vector<address> known_peers;
    /// The receiver passes the beacon on in its region.
    bool pass_on = false;

    friend bool operator==(const node_beacon&, const node_beacon&) = default;
};

} // namespace chivedeal::forward

#endif
