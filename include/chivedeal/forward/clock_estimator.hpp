#ifndef CHIVEDEAL_FORWARD_CLOCK_ESTIMATOR_HPP
#define CHIVEDEAL_FORWARD_CLOCK_ESTIMATOR_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::forward {

/// Estimates true time as the median of the nodes' wall clocks.
///
/// A clock step on this node or on a minority of the other nodes doesn't move the median. The node
/// uses its own clock while that is close to the median, since beacons may have been delayed on the
/// way. Nodes without a recent observation are left out: the steady clock stops while a machine is
/// suspended, so that older offsets are wrong.
class clock_estimator
{
public:
    /// Records the wall clock of `node` as received at `now` on this node's steady clock.
    void observe(const node_id& node, absl::Time wall, absl::Time now);
    void forget(const node_id& node);

    /// Returns `own_wall` if there are no recent observations.
    absl::Time true_time(absl::Time own_wall, absl::Time now) const;

private:
    struct observation
    {
        absl::Duration offset;
        absl::Time observed_at;
    };

    std::map<node_id, observation> m_observations;
};

} // namespace chivedeal::forward

#endif
