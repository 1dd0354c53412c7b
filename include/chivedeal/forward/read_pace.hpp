#ifndef CHIVEDEAL_FORWARD_READ_PACE_HPP
#define CHIVEDEAL_FORWARD_READ_PACE_HPP

#include "absl/time/time.h"

namespace chivedeal::forward {

/// How often a topic is read, so that a change reaches all nodes before a deadline.
struct read_pace
{
    /// How long a read waits at the store for a change.
    absl::Duration wait;
    /// How long a batch that a peer relayed replaces a read by this node.
    absl::Duration relay_validity;

    friend bool operator==(const read_pace&, const read_pace&) = default;
};

/// Calls to the store are billed, so a later deadline makes reads rarer.
read_pace read_pace_for(absl::Duration deadline);

} // namespace chivedeal::forward

#endif
