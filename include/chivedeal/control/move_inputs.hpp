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

/// Inputs of a rollout policy for one evaluation. The pointers are never null.
struct move_inputs
{
    std::shared_ptr<const state::cluster_state> state;
    std::shared_ptr<const membership::membership_view> view;
    /// Outcomes counted by this node.
    std::vector<membership::outcome_count> own_counts;
    held_leases held;
    /// Wall-clock time, for comparison with the deadlines that operators declare.
    absl::Time wall_now;

    friend bool operator==(const move_inputs&, const move_inputs&) = default;
};

} // namespace chivedeal::control

#endif
