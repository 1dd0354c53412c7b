#ifndef CHIVEDEAL_ADMISSION_TOKEN_QUOTA_HPP
#define CHIVEDEAL_ADMISSION_TOKEN_QUOTA_HPP

#include "chivedeal/admission/demand_by_priority.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/workspace_spec.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chivedeal::admission {

/// Enforces each workspace's rate limit over all nodes together.
///
/// Each node keeps a copy of the workspace's token bucket and takes from it what the node itself
/// and its peers admitted. Between two reports of a peer, the node assumes that the peer goes on as
/// before, and corrects the level at the next report. From the level and from what callers ask for,
/// each node derives the same fraction of requests to admit, so that a node's share follows its
/// demand. Silent peers are assumed to spend at least their equal share of the bucket and of the
/// rate, so that nodes that don't hear each other stay within the limit together.
class token_quota
{
public:
    struct options
    {
        /// Whether requests may have been admitted shortly before this process started. Buckets
        /// then start empty: a full one would grant the burst a second time.
        bool starts_empty = false;
        /// By how much all nodes together may exceed a limit: a fraction of it, and tokens.
        double excess_ratio = 0;
        double slack_tokens = 0;
    };

    struct request
    {
        double cost = 0;
        /// 0 is the highest.
        int priority = 0;
        /// Uniform in [0, 1) and independent between requests.
        double sample = 0;
    };

    enum class decision
    {
        admitted,
        /// The workspace asks for more than its limit.
        limit_reached,
        /// The node has spent what it may spend before its peers know of it.
        share_spent,
    };

    /// What a peer says about itself.
    struct peer_report
    {
        /// Start of the peer's process, in microseconds since 1970. Its counters start at zero.
        std::int64_t started_us = 0;
        /// Cost admitted for each workspace since then.
        const std::map<workspace_id, double>& admitted;
        /// Part of `admitted` that counts if the peer was unknown.
        double recent_share = 1;
        /// A peer that shuts down admits nothing once it is silent.
        bool leaving = false;
    };

    token_quota() : token_quota(options{}) {}
    explicit token_quota(options settings) : m_options(settings) {}

    /// Replaces the limits. A workspace that was limited before keeps its bucket's level, capped at
    /// the new burst.
    void set_workspaces(const std::vector<forward::workspace_spec>& workspaces, absl::Time now);

    /// Number of nodes that admit requests, this one included.
    void set_node_count(int nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    /// Takes the cost from the bucket if the limit allows the request. Workspaces without a limit
    /// are always admitted.
    decision try_admit(const workspace_id& workspace, const request& asked, absl::Time now);

    /// Returns the cost of a request that did not run.
    void give_back(const workspace_id& workspace, double cost);

    /// Takes the cost that a peer admitted since its last report from the buckets.
    void on_peer_report(const node_id& peer, const peer_report& report, absl::Time now);

    /// Resets what counts against this node's share, after an exchange with the peers. Must be
    /// called regularly.
    void on_exchange(absl::Time now);

    /// A node that has been running for longer reports the levels of its buckets. A node that
    /// started with empty buckets takes them over.
    void on_peer_levels(const std::map<workspace_id, double>& levels, absl::Time now);

    /// Levels of the buckets, for nodes that have just started.
    std::map<workspace_id, double> levels(absl::Time now) const;

    /// Cost that this node has admitted since its start, to be sent to its peers.
    const std::map<workspace_id, double>& admitted() const { return m_admitted; }

    /// Time until the bucket holds `cost` again.
    absl::Duration time_until_available(const workspace_id& workspace, double cost) const;

    /// Returns when a refused request should be sent again: once the bucket is expected to have room
    /// for its priority, the most urgent first. `spread` is uniform in [0, 1).
    absl::Duration retry_after(const workspace_id& workspace, const request& refused,
                               double spread) const;

    /// Peers that haven't reported for longer than usual.
    int silent_peers() const { return m_silent_peers; }

private:
    struct token_bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        // The highest level of the recent past, decaying.
        double recent_level = 0;
        double spent_since_exchange = 0;
        // Tokens per second that peers are assumed to admit, by whether they report.
        double reporting_rate = 0;
        double silent_rate = 0;
        // Average fraction of the requested tokens that the nodes admit.
        double admitted_fraction = 1;
        // Tokens per second that callers ask the reporting peers for.
        double peer_demand = 0;
        absl::Time fraction_at = absl::InfinitePast();
        demand_by_priority demand;
        absl::Time refilled_at = absl::InfinitePast();
    };

    struct peer_spending
    {
        double rate = 0;
        // What the peer is assumed to have taken from the bucket when it fell silent.
        double assumed = 0;
        // The last total that the peer reported.
        double reported_total = 0;

        bool is_negligible() const
        {
            constexpr double negligible_rate = 1e-3;
            return rate < negligible_rate && assumed == 0;
        }
    };

    struct peer
    {
        absl::Time heard_at = absl::InfinitePast();
        // Assumptions up to this time are in `peer_spending::assumed`.
        absl::Time assumed_until = absl::InfinitePast();
        absl::Duration interval;
        bool is_silent = false;
        bool is_leaving = false;
        std::int64_t started_us = 0;
        std::map<workspace_id, peer_spending> spending;
    };

    double first_level(const forward::workspace_spec& spec) const;
    forward::workspace_spec with_tolerance(const forward::workspace_spec& spec) const;
    int node_count() const;
    double reachable_fraction() const;
    int unheard_peers() const;
    double unheard_rate(const token_bucket& bucket) const;
    double fraction_to_admit(const token_bucket& bucket, double cost, absl::Time now) const;
    void update_fraction(token_bucket& bucket, absl::Time now) const;
    double blind_allowance(const token_bucket& bucket, absl::Time now) const;
    void refill(token_bucket& bucket, absl::Time now) const;
    void detect_silence(absl::Time now);
    void on_silent(peer& silent, absl::Time now);
    void approach_equal_share(peer& silent, absl::Time now);
    void settle(peer& reporting, const peer_report& report, bool is_new, absl::Time now);
    void settle(token_bucket& bucket, peer_spending& spending, const peer& reporting, double actual,
                absl::Time now) const;
    void remove_peer(const peer& removed, absl::Time now);

    options m_options;
    std::map<workspace_id, token_bucket> m_buckets;
    std::map<workspace_id, double> m_admitted;
    std::map<node_id, peer> m_peers;
    // Levels that other nodes reported before this node knew the workspaces.
    std::map<workspace_id, double> m_early_levels;
    int m_nodes = 1;
    int m_silent_peers = 0;
    absl::Time m_last_report = absl::InfinitePast();
    absl::Time m_silence_checked_at = absl::InfinitePast();
    absl::Time m_started_at = absl::InfiniteFuture();
};

} // namespace chivedeal::admission

#endif
