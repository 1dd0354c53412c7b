#ifndef CHIVEDEAL_REQUESTS_WORKSPACE_LIMITER_HPP
#define CHIVEDEAL_REQUESTS_WORKSPACE_LIMITER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/core/result.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <map>
#include <memory>

namespace chivedeal::state {
struct cluster_state;
struct workspace;
} // namespace chivedeal::state

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

/// Enforces this node's share of each workspace's rate, burst and concurrency.
///
/// The share is this node's demand divided by the total known demand, so nodes without known
/// demand, such as new nodes or nodes that report none, don't reduce the share of the others. Dead
/// and leaving nodes are not counted; suspected nodes are.
///
/// Overshoot bound: over an interval all nodes together admit at most rate x interval + burst. Each
/// node whose demand the others do not know yet adds one gossip round of the rate and its share of
/// the burst, which is at least one request. Open requests exceed the concurrency by at most the
/// share of such a node, or by one request per node.
///
///     const status admitted = limiter.admit(request.workspace, now);
///     if (!is_ok(admitted))
///         refuse(get_error(admitted), limiter.retry_after(request.workspace, now));
class workspace_limiter
{
public:
    struct options
    {
        /// Time for a change of demand to reach the other nodes.
        absl::Duration gossip_round = absl::Seconds(1);
        /// Time constant of the demand estimate.
        absl::Duration demand_window = absl::Seconds(2);
    };

    workspace_limiter();
    explicit workspace_limiter(options tunables);

    void on_state(std::shared_ptr<const state::cluster_state> state);
    void on_view(const std::shared_ptr<const membership::membership_view>& view, absl::Time now);

    /// Consumes a token and counts an open request; every success must be followed by `release`.
    /// Returns `unknown_workspace`, or `rate_limited` with the wait in the message.
    status admit(const workspace_id& workspace, absl::Time now);

    void release(const workspace_id& workspace);

    /// Returns the time until the next token at the current share; zero if one is available.
    absl::Duration retry_after(const workspace_id& workspace, absl::Time now);

    /// Returns the demand that this node gossips: requests per second, including refused ones.
    std::map<workspace_id, double> demand(absl::Time now);
    std::map<workspace_id, int> open_requests() const;

private:
    struct account
    {
        /// Tokens consumed and not yet refilled.
        double spent_tokens = 0;
        /// Moving average in requests per second; too low until one window has passed.
        double average_demand = 0;
        absl::Time updated = absl::InfinitePast();
        absl::Time active_since = absl::InfinitePast();
        int open = 0;
    };
    struct remote_usage
    {
        double demand = 0;
        int open = 0;
    };

    account& update_account(const state::workspace& declared, absl::Time now);
    remote_usage remote_usage_of(const workspace_id& workspace) const;
    double demand_of(const account& usage) const;
    double share_of(const workspace_id& workspace, const account& usage) const;
    double conservative_share_of(const workspace_id& workspace, const account& usage) const;
    bool is_over_concurrency(const state::workspace& declared, const account& usage) const;
    absl::Duration wait_time(const state::workspace& declared, const account& usage) const;
    const state::workspace* find(const workspace_id& workspace) const;

    options m_options;
    std::shared_ptr<const state::cluster_state> m_state;
    absl::flat_hash_map<workspace_id, account> m_accounts;
    absl::flat_hash_map<workspace_id, remote_usage> m_remote_usage;
    int m_alive_nodes = 1;
};

} // namespace chivedeal::requests

#endif
