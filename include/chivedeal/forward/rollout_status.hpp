#ifndef CHIVEDEAL_FORWARD_ROLLOUT_STATUS_HPP
#define CHIVEDEAL_FORWARD_ROLLOUT_STATUS_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/outcome_ledger.hpp"
#include "chivedeal/forward/rollout_state.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <set>

namespace chivedeal::forward {

/// State of one roll-out as published to the operator and the other nodes. While it runs, the
/// status has what a node needs to go on with the evaluation of the nodes before it.
struct rollout_status
{
    service_id service;
    version_id target;
    rollout_state state = rollout_state::running;
    /// Position of the order's record. Nodes of earlier versions store none.
    std::optional<std::uint64_t> order_offset;
    /// True time at which a node first learned of the order.
    std::optional<absl::Time> started_at;
    /// Whether the target version gets all traffic.
    bool proven = false;
    /// Lowest excess of bad responses so far; see `excess_tracker`.
    double lowest_excess = 0;
    /// Versions that carried the service's traffic when the roll-out was ordered. Nodes of earlier
    /// versions store none.
    std::set<version_id> stable;
    outcome_ledger outcomes;

    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

} // namespace chivedeal::forward

#endif
