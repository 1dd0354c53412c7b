#ifndef CHIVEDEAL_CONTROL_ROLLOUT_POLICY_HPP
#define CHIVEDEAL_CONTROL_ROLLOUT_POLICY_HPP

#include "chivedeal/control/move_command.hpp"

#include "absl/time/time.h"

#include <vector>

namespace chivedeal::control {

struct move_inputs;

/// Decides how traffic moves from the old version of a service to the new one.
class rollout_policy
{
public:
    virtual ~rollout_policy() = default;

    /// Returns the commands to execute. `now` is monotonic. A command is repeated if later inputs
    /// do not show its effect.
    virtual std::vector<move_command> handle(const move_inputs& inputs, absl::Time now) = 0;
};

} // namespace chivedeal::control

#endif
