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
/// The share is the node's own demand divided by all known demand, so nodes without demand, new
/// or silent ones, take nothing from the others. A node that is declared dead or leaving no
/// longer counts; a suspected one does.
///
/// Overshoot bound: over an interval all nodes together admit at most rate x interval + burst, plus
/// for each node whose demand the others do not know yet one gossip round of the rate and that
/// node's part of the burst, which is at least one request. Open requests exceed the concurrency by
/// at most such a node's part of it, or by one request for each node.
///
///     const status admitted = limiter.admit(request.workspace, now);
///     if (!is_ok(admitted))
///         refuse(get_error(admitted), limiter.retry_after(request.workspace, now));
class workspace_limiter
{
public:
    struct options
    {
        /// Time until the other nodes know of a change of demand.
        absl::Duration gossip_round = absl::Seconds(1);
        /// Time constant of the demand estimate.
        absl::Duration demand_window = absl::Seconds(2);
    };

    workspace_limiter();
    explicit workspace_limiter(options tunables);

    void on_state(std::shared_ptr<const state::cluster_state> state);
    void on_view(const std::shared_ptr<const membership::membership_view>& view, absl::Time now);

    /// Takes a token and an open request; `finished` must follow each success. Fails with
    /// `unknown_workspace`, or with `rate_limited` and the wait in the message.
    status admit(const workspace_id& workspace, absl::Time now);

    void finished(const workspace_id& workspace);

    /// Returns the wait until the next token at the present share; zero when one is there.
    absl::Duration retry_after(const workspace_id& workspace, absl::Time now);

    /// Returns what this node gossips: requests a second offered to it, refused ones included.
    std::map<workspace_id, double> demand(absl::Time now);
    std::map<workspace_id, int> open_requests() const;

private:
    struct account
    {
        /// Tokens spent and not yet regained.
        double spent = 0;
        /// Requests a second, averaged; too low until the window has passed once.
        double own_demand = 0;
        absl::Time updated = absl::InfinitePast();
        absl::Time active_since = absl::InfinitePast();
        int open = 0;
    };
    struct others
    {
        double demand = 0;
        int open = 0;
    };

    account& bring_up_to_date(const state::workspace& declared, absl::Time now);
    others others_of(const workspace_id& workspace) const;
    double demand_of(const account& held) const;
    double share_of(const workspace_id& workspace, const account& held) const;
    double cautious_share_of(const workspace_id& workspace, const account& held) const;
    bool is_over_concurrency(const state::workspace& declared, const account& held) const;
    absl::Duration wait_of(const state::workspace& declared, const account& held) const;
    const state::workspace* find(const workspace_id& workspace) const;

    options m_options;
    std::shared_ptr<const state::cluster_state> m_state;
    absl::flat_hash_map<workspace_id, account> m_accounts;
    absl::flat_hash_map<workspace_id, others> m_others;
    int m_alive_nodes = 1;
};

} // namespace chivedeal::requests

#endif
