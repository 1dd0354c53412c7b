#ifndef CHIVEDEAL_FORWARD_TOKEN_QUOTA_HPP
#define CHIVEDEAL_FORWARD_TOKEN_QUOTA_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

#include "absl/time/time.h"

#include <map>
#include <vector>

namespace chivedeal::forward {

/// Enforces each workspace's rate limit over all nodes together.
///
/// Each node keeps a copy of the workspace's token bucket and takes from it what the node itself
/// and its peers admitted. The peers' amounts arrive late, so the node subtracts what they have
/// probably admitted since. All nodes would spend the same tokens before they hear of each other, so
/// between two exchanges a node spends at most its equal share of the bucket, doubled to allow for
/// uneven traffic, and one request beyond it. When the bucket is nearly empty, each node admits only
/// at its own share of the rate. A request may cost many times what a node earns in a second; it is
/// then admitted with a probability, and the node repays it.
class token_quota
{
public:
    struct options
    {
        /// Whether requests may have been admitted shortly before this process started. Buckets
        /// then start empty: a full one would grant the burst a second time.
        bool starts_empty = false;
    };

    token_quota() : token_quota(options{}) {}
    explicit token_quota(options settings) : m_options(settings) {}

    /// Replaces the limits. A workspace that was limited before keeps its bucket's level, capped at
    /// the new burst.
    void set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now);

    /// Number of nodes that admit requests, this one included.
    void set_node_count(int nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    /// Mean age of the amounts that peers report.
    void set_report_delay(absl::Duration delay) { m_report_delay = delay; }

    /// Takes `cost` from the bucket if the limit allows it. Workspaces without a limit are always
    /// admitted. `sample` is uniform in [0, 1) and independent between requests.
    bool try_admit(const workspace_id& workspace, double cost, double sample, absl::Time now);

    /// Returns the cost of a request that did not run.
    void give_back(const workspace_id& workspace, double cost);

    /// Takes the cost that peers admitted since their last report from the bucket.
    void on_peers_admitted(const workspace_id& workspace, double cost, absl::Time now);

    /// Resets what counts against this node's share, after an exchange with the peers.
    void on_exchange();

    /// A node that has been running for longer reports the levels of its buckets. A node that
    /// started with empty buckets takes them over.
    void on_peer_levels(const std::map<workspace_id, double>& levels, absl::Time now);

    /// Levels of the buckets, for nodes that have just started.
    std::map<workspace_id, double> levels(absl::Time now) const;

    /// Cost that this node has admitted since its start, to be sent to its peers.
    const std::map<workspace_id, double>& admitted() const { return m_admitted; }

    /// Time until the bucket holds `cost` again.
    absl::Duration time_until_available(const workspace_id& workspace, double cost) const;

private:
    struct token_bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double spent_since_exchange = 0;
        // What the node may spend of its own share while the bucket is nearly empty; negative after
        // a request that cost more.
        double credit = 0;
        // Cost per second that peers admit, averaged over the recent past.
        double peer_rate = 0;
        absl::Time peer_rate_at = absl::InfinitePast();
        absl::Time refilled_at = absl::InfinitePast();
    };

    double first_level(const workspace_spec& spec) const;
    bool is_within_share(const token_bucket& bucket, double cost, double sample,
                         absl::Time now) const;
    void refill(token_bucket& bucket, absl::Time now) const;
    double unreported(const token_bucket& bucket, absl::Time now) const;

    options m_options;
    std::map<workspace_id, token_bucket> m_buckets;
    std::map<workspace_id, double> m_admitted;
    // Levels that other nodes reported before this node knew the workspaces.
    std::map<workspace_id, double> m_early_levels;
    int m_nodes = 1;
    absl::Duration m_report_delay;
    absl::Time m_started_at = absl::InfiniteFuture();
};

} // namespace chivedeal::forward

#endif
