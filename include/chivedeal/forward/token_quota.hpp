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
/// and its peers admitted. The peers' amounts arrive one exchange interval late. Between two
/// exchanges, a node therefore spends at most its equal share of the bucket, doubled to allow for
/// uneven traffic.
class token_quota
{
public:
    /// Replaces the limits. A workspace that was limited before keeps its bucket's level, capped at
    /// the new burst.
    void set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now);

    /// Number of nodes that admit requests, this one included.
    void set_node_count(int nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    /// Takes `cost` from the bucket if the limit allows it. Workspaces without a limit are always
    /// admitted.
    bool try_admit(const workspace_id& workspace, double cost, absl::Time now);

    /// Returns the cost of a request that did not run.
    void give_back(const workspace_id& workspace, double cost);

    /// Takes the cost that peers admitted since the last exchange from the bucket.
    void on_peers_admitted(const workspace_id& workspace, double cost, absl::Time now);

    /// Resets what counts against this node's share, after an exchange with the peers.
    void on_exchange();

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
        absl::Time refilled_at = absl::InfinitePast();
    };

    static void refill(token_bucket& bucket, absl::Time now);

    std::map<workspace_id, token_bucket> m_buckets;
    std::map<workspace_id, double> m_admitted;
    int m_nodes = 1;
};

} // namespace chivedeal::forward

#endif
