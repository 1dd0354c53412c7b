#ifndef CHIVEDEAL_FORWARD_NODE_SETTINGS_HPP
#define CHIVEDEAL_FORWARD_NODE_SETTINGS_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <vector>

namespace chivedeal::forward {

/// Settings of a node that forwards HTTP. Bounds are those that the platform promises its users.
struct node_settings
{
    node_id node;
    zone_id zone;
    region_id region;
    std::map<zone_id, region_id> zones;

    address front;
    std::optional<address> ready;
    std::optional<address> directory;
    /// Datagrams between nodes; the same port on each node.
    address peers;
    std::optional<address> metrics;
    std::vector<address> seeds;

    /// How long callers keep an address answer; some keep it three times as long.
    absl::Duration address_ttl = absl::Seconds(1);
    /// From SIGTERM to SIGKILL.
    absl::Duration grace = absl::Seconds(8);
    /// Shortest time in which a lease may change hands twice.
    absl::Duration lease_term = absl::Seconds(3);
    absl::Duration usage_window = absl::Seconds(5);
    /// A usage report is due this long after the end of its window.
    absl::Duration usage_due = absl::Seconds(10);
    /// Retries for each request over `retry_window`, plus `retry_slack`, over all nodes together.
    double retry_ratio = 0.2;
    absl::Duration retry_window = absl::Seconds(10);
    double retry_slack = 20;
    /// Parts of a workspace's rate, and tokens, by which all nodes together may exceed its limit.
    /// They make up for what nodes know of each other too late.
    double quota_excess = 0;
    double quota_slack = 0;
    /// Share of a service's requests that an unproven version may get.
    double unproven_share = 0.1;
    bool reports_usage = false;
    bool orders_endpoints = false;

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

} // namespace chivedeal::forward

#endif
