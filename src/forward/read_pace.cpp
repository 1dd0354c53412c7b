#include "chivedeal/forward/read_pace.hpp"

#include <algorithm>

namespace chivedeal::forward {

namespace {

// The shortest wait. With it, a change reaches all nodes within 2.5 s even if the reading peer stops
// and the store is slow.
constexpr absl::Duration min_wait = absl::Milliseconds(600);
constexpr absl::Duration deadline_for_min_wait = absl::Milliseconds(2500);
// Share of a longer deadline that lengthens the wait. It lengthens the time until a node notices
// that the reading peer stopped, too, so less than half of the deadline may be used.
constexpr double wait_share_of_slack = 0.4;
constexpr absl::Duration max_wait = absl::Seconds(5);
// Covers a slow store and a busy peer.
constexpr absl::Duration relay_margin = absl::Milliseconds(800);

} // namespace

read_pace read_pace_for(absl::Duration deadline)
{
    const absl::Duration slack =
        std::max(absl::ZeroDuration(), deadline - deadline_for_min_wait) * wait_share_of_slack;
    const absl::Duration wait = std::min(max_wait, min_wait + slack);
    return {.wait = wait, .relay_validity = wait + relay_margin};
}

} // namespace chivedeal::forward
