#ifndef CHIVEDEAL_FORWARD_CLOCK_CONSENSUS_HPP
#define CHIVEDEAL_FORWARD_CLOCK_CONSENSUS_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::forward {

/// Estimates true time as the median of the nodes' calendar clocks.
///
/// A clock that steps, on this node or on a minority of the others, doesn't move the median. The
/// own clock is used while it is near the median, since beacons may have waited on their way. A node
/// that was not heard lately doesn't count: the steady clock stands still on a suspended machine.
class clock_consensus
{
public:
    /// A node's calendar time as heard at `now` of this node's steady clock.
    void observe(const node_id& node, absl::Time wall, absl::Time now);
    void forget(const node_id& node);

    /// Returns `own_wall` when nothing was observed.
    absl::Time true_time(absl::Time own_wall, absl::Time now) const;

private:
    struct observation
    {
        absl::Duration offset;
        absl::Time at;
    };

    std::map<node_id, observation> m_observed;
};

} // namespace chivedeal::forward

#endif
