#ifndef CHIVEDEAL_CONTROL_MOVE_COMMAND_HPP
#define CHIVEDEAL_CONTROL_MOVE_COMMAND_HPP

#include "chivedeal/membership/fact.hpp"
#include "chivedeal/state/record.hpp"

#include <string>
#include <variant>

namespace chivedeal::control {

/// Appends a step to the log. The lease of `step.scope` has to be checked again immediately before.
struct append_step
{
    state::move_step step;
    /// Description of the evidence, for the log event.
    std::string evidence;

    friend bool operator==(const append_step&, const append_step&) = default;
};

/// Command of a rollout policy: a record to append, or a fact to announce immediately by gossip.
using move_command =
    std::variant<append_step, state::move_outcome, state::version_verdict, membership::version_bad>;

} // namespace chivedeal::control

#endif
