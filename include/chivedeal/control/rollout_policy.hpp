#ifndef CHIVEDEAL_CONTROL_ROLLOUT_POLICY_HPP
#define CHIVEDEAL_CONTROL_ROLLOUT_POLICY_HPP

#include "chivedeal/control/move_command.hpp"

#include "absl/time/time.h"

#include <vector>

namespace chivedeal::control {

struct move_inputs;

/// Decides how a new version of a service takes its traffic over.
class rollout_policy
{
public:
    virtual ~rollout_policy() = default;

    /// `now` is monotonic. Commands whose effect does not show in a later look are repeated.
    virtual std::vector<move_command> handle(const move_inputs& inputs, absl::Time now) = 0;
};

} // namespace chivedeal::control

#endif
