#ifndef CHIVEDEAL_CONTROL_MOVE_COMMAND_HPP
#define CHIVEDEAL_CONTROL_MOVE_COMMAND_HPP

#include "chivedeal/membership/fact.hpp"
#include "chivedeal/state/record.hpp"

#include <string>
#include <variant>

namespace chivedeal::control {

/// Appends a step. `scope` names the lease to check again right before.
struct append_step
{
    state::move_step step;
    /// For the log line.
    std::string evidence;

    friend bool operator==(const append_step&, const append_step&) = default;
};

/// What a rollout policy wants done: records to append, and a fact to announce at once.
using move_command =
    std::variant<append_step, state::move_outcome, state::version_verdict, membership::version_bad>;

} // namespace chivedeal::control

#endif
