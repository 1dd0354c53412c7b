#ifndef CHIVEDEAL_FORWARD_TOKEN_QUOTA_HPP
#define CHIVEDEAL_FORWARD_TOKEN_QUOTA_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

#include "absl/time/time.h"

#include <map>
#include <vector>

namespace chivedeal::forward {

/// Holds each workspace to its limit over all nodes together.
///
/// Each node keeps the same bucket of a workspace, from which it takes what itself and its peers
/// admitted. Peers' figures are late by an exchange interval; between two exchanges a node spends
/// at most its fair part of the bucket, doubled for uneven traffic.
class token_quota
{
public:
    /// Replaces the limits. A workspace that stays keeps its bucket, cut to the new burst.
    void set_workspaces(const std::vector<workspace_spec>& workspaces, absl::Time now);

    /// Number of nodes that admit requests, this one included.
    void set_nodes(int nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    /// Takes `cost` when the limit allows it. Workspaces without a limit always pass.
    bool try_admit(const workspace_id& workspace, double cost, absl::Time now);

    /// Gives back what a request that did not run took.
    void give_back(const workspace_id& workspace, double cost);

    /// Takes what peers admitted since the last exchange.
    void on_peers_admitted(const workspace_id& workspace, double cost, absl::Time now);

    /// An exchange has taken place: the node's fair part starts anew.
    void on_exchange();

    /// All that this node admitted since its start, for its peers.
    const std::map<workspace_id, double>& admitted() const { return m_admitted; }

    /// Time until the bucket holds `cost` again.
    absl::Duration time_until(const workspace_id& workspace, double cost) const;

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double spent_since_exchange = 0;
        absl::Time refilled = absl::InfinitePast();
    };

    static void refill(bucket& one, absl::Time now);

    std::map<workspace_id, bucket> m_buckets;
    std::map<workspace_id, double> m_admitted;
    int m_nodes = 1;
};

} // namespace chivedeal::forward

#endif
