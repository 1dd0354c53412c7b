#ifndef CHIVEDEAL_FORWARD_NODE_BEACON_HPP
#define CHIVEDEAL_FORWARD_NODE_BEACON_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/era/planned_report.hpp"
#include "chivedeal/forward/endpoint_load.hpp"
#include "chivedeal/forward/part_suspicion.hpp"
#include "chivedeal/forward/rollout_status.hpp"
#include "chivedeal/forward/usage_report.hpp"
#include "chivedeal/forward/version_outcomes.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivedeal::forward {

/// State that a node sends to its peers several times a second.
struct node_beacon
{
    node_id node;
    /// Start of the process, in microseconds since 1970. A later value means that the node
    /// restarted.
    std::int64_t started_us = 0;
    std::uint64_t sequence = 0;
    address front_address;
    address peer_address;
    region_id region;
    bool ready = false;
    bool leaving = false;
    /// Sender's wall clock, in microseconds since 1970.
    std::int64_t wall_us = 0;
    /// Fencing token of the control lease, if the node holds it.
    std::optional<std::uint64_t> lease_token;
    /// Cost admitted for each workspace since the node started.
    std::map<workspace_id, double> admitted;
    /// Levels of the workspaces' buckets. Only in the reply to a node that has just started.
    std::map<workspace_id, double> quota_levels;
    std::vector<endpoint_load> loads;
    /// Prompt tokens of the requests for each service since the node started.
    std::map<service_id, std::int64_t> requested_prompt_tokens;
    std::vector<version_outcomes> outcomes;
    /// Requests that started on the node, for the most recent windows.
    std::vector<usage_report> usage;
    /// Prompt parts with which endpoints crashed.
    std::vector<part_suspicion> suspicions;
    /// Addresses of some of the node's peers, so that nodes discover each other without the store.
    std::vector<address> known_peers;
    /// Whether the receiver relays the beacon to the nodes of its region.
    bool relay_in_region = false;
    /// Highest epoch of the store that the node knows of.
    std::uint64_t store_epoch = 0;
    /// Usage reports that the lease holder is about to send. In the reply to a node that has just
    /// started, all recent ones.
    std::vector<era::planned_report> planned_reports;
    /// Final states of roll-outs that the store has accepted recently.
    std::vector<rollout_status> decided_rollouts;

    friend bool operator==(const node_beacon&, const node_beacon&) = default;
};

} // namespace chivedeal::forward

#endif
