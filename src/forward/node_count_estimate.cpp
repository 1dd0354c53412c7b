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

} // namespace chivedeal::forward
