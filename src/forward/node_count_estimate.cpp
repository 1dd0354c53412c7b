#include "chivedeal/forward/node_count_estimate.hpp"

#include <algorithm>

namespace chivedeal::forward {

int node_count_estimate::count(int ready_nodes, absl::Time now) const
{
    if (now - m_options.started_at > m_options.discovery_time)
        return ready_nodes;
    const bool is_unknown = m_listed_nodes == 0 && !m_options.is_first_start;
    return std::max(ready_nodes, is_unknown ? m_options.assumed_nodes : m_listed_nodes);
}

int node_count_estimate::upper_bound(int heard_nodes, absl::Time now) const
{
    // A node that restarts reads a list of all nodes that ever ran. At the first start the list
    // grows while it is read.
    const bool may_be_incomplete =
        m_listed_nodes == 0 ||
        (m_options.is_first_start && now - m_options.started_at < m_options.registration_time);
    return std::max({heard_nodes, m_listed_nodes, may_be_incomplete ? m_options.max_nodes : 0});
}

} // namespace chivedeal::forward
