#ifndef CHIVEDEAL_FORWARD_CLOCK_CONSENSUS_HPP
#define CHIVEDEAL_FORWARD_CLOCK_CONSENSUS_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::forward {

/// Estimates true time as the median of the nodes' calendar clocks.
///
/// A clock that steps, on this node or on a minority of the others, doesn't move the median. The
/// own clock is used while it is near the median, since beacons may have waited on their way.
class clock_consensus
{
public:
    /// A node's calendar time as heard at `now` of this node's steady clock.
    void observe(const node_id& node, absl::Time wall, absl::Time now);
    void forget(const node_id& node);

    /// Returns `own_wall` when nothing was observed.
    absl::Time true_time(absl::Time own_wall, absl::Time now) const;

private:
    std::map<node_id, absl::Duration> m_offsets;
};

} // namespace chivedeal::forward

#endif
