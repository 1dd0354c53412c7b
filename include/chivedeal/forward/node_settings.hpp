#ifndef CHIVEDEAL_FORWARD_NODE_SETTINGS_HPP
#define CHIVEDEAL_FORWARD_NODE_SETTINGS_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/guard/instance_limits.hpp"
#include "chivedeal/regions/cold_tolerance.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <vector>

namespace chivedeal::forward {

/// Settings of a node that forwards HTTP. Limits are those that the platform guarantees its users.
struct node_settings
{
    node_id node;
    zone_id zone;
    region_id region;
    std::map<zone_id, region_id> zones;

    address front;
    std::optional<address> ready;
    std::optional<address> directory;
    /// Address for datagrams between nodes. All nodes use the same port.
    address peers;
    std::optional<address> metrics;
    std::vector<address> seeds;

    /// How long callers cache an address response; some cache it three times as long.
    absl::Duration address_ttl = absl::Seconds(1);
    /// Time from SIGTERM to SIGKILL.
    absl::Duration shutdown_grace = absl::Seconds(8);
    /// Minimum time between two changes of the lease holder.
    absl::Duration lease_term = absl::Seconds(3);
    /// A configuration is in force on all nodes this long after the store accepted it.
    absl::Duration config_deadline = absl::Milliseconds(2500);
    absl::Duration usage_window = absl::Seconds(5);
    /// A usage report is due this long after the end of its window.
    absl::Duration usage_report_deadline = absl::Seconds(10);
    /// All nodes together may retry `retry_ratio` times the number of requests in `retry_window`,
    /// plus `retry_slack_requests`.
    double retry_ratio = 0.2;
    absl::Duration retry_window = absl::Seconds(10);
    double retry_slack_requests = 20;
    /// All nodes together may exceed a workspace's limit by `quota_excess_ratio`, a fraction of its
    /// rate, plus `quota_slack_tokens`. This covers admissions that nodes have not yet reported to
    /// each other.
    double quota_excess_ratio = 0;
    double quota_slack_tokens = 0;
    regions::cold_tolerance cold;
    /// Maximum share of a service's requests that an unproven version receives.
    double unproven_share = 0.1;
    /// Requests that an unproven version may receive beyond that share.
    double unproven_slack_requests = 0;
    /// Whether the whole system starts for the first time. Otherwise, requests may have been
    /// admitted and run shortly before the process started.
    bool is_first_start = false;
    guard::instance_limits instance;
    bool reports_usage = false;
    bool orders_endpoints = false;

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

} // namespace chivedeal::forward

#endif
