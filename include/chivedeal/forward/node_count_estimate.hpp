#ifndef CHIVEDEAL_FORWARD_NODE_COUNT_ESTIMATE_HPP
#define CHIVEDEAL_FORWARD_NODE_COUNT_ESTIMATE_HPP

#include "absl/time/time.h"

namespace chivedeal::forward {

/// Estimates how many nodes share the limits of workspaces.
///
/// A node that has just started has heard of few peers. If it believed to be alone, it would grant
/// all of each limit by itself, and so would all others that start with it.
class node_count_estimate
{
public:
    struct options
    {
        absl::Time started_at;
        /// Whether the whole system starts for the first time, so that no peer is running yet.
        bool is_first_start = false;
        /// Time in which a node learns which of the listed nodes are running.
        absl::Duration discovery_time = absl::Seconds(2);
        /// Assumed until the list of nodes was read. Too many delay some requests for a moment.
        int assumed_nodes = 100;
        /// Nodes that start together register and hear of each other within this time.
        absl::Duration registration_time = absl::Seconds(10);
        /// Upper bound that is assumed until then. The largest deployment has 390 nodes.
        int max_nodes = 400;
    };

    explicit node_count_estimate(options settings) : m_options(settings) {}

    /// The list of all nodes that ever registered was read.
    void on_listed(int nodes) { m_listed_nodes = nodes; }

    /// `ready_nodes` is the number of nodes known to accept requests, this one included.
    int count(int ready_nodes, absl::Time now) const;

    /// Returns a number that is not too low, for limits that must hold without communication.
    /// `heard_nodes` is the number of nodes known, this one included.
    int upper_bound(int heard_nodes, absl::Time now) const;

private:
    options m_options;
    int m_listed_nodes = 0;
};

} // namespace chivedeal::forward

#endif
