#ifndef CHIVEDEAL_CONTROL_MOVE_INPUTS_HPP
#define CHIVEDEAL_CONTROL_MOVE_INPUTS_HPP

#include "chivedeal/control/held_leases.hpp"
#include "chivedeal/membership/outcome_count.hpp"

#include "absl/time/time.h"

#include <memory>
#include <vector>

namespace chivedeal::membership {
struct membership_view;
}
namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::control {

/// All that a decision on version moves rests on. The pointers are never null.
struct move_inputs
{
    std::shared_ptr<const state::cluster_state> state;
    std::shared_ptr<const membership::membership_view> view;
    /// Counts of this node.
    std::vector<membership::outcome_count> own_counts;
    held_leases held;
    /// Calendar time, in which operators give deadlines.
    absl::Time wall_now;

    friend bool operator==(const move_inputs&, const move_inputs&) = default;
};

} // namespace chivedeal::control

#endif
