#ifndef CHIVEDEAL_FORWARD_PART_SUSPICION_HPP
#define CHIVEDEAL_FORWARD_PART_SUSPICION_HPP

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// What a node knows of a prompt part with which endpoints crashed. Ages instead of times are sent,
/// as the nodes' clocks differ.
struct part_suspicion
{
    std::string part;
    /// Position of the part in its prompts; 0 is the first.
    int depth = 0;
    /// Incarnations that crashed while they had a request with the part, and how long ago.
    std::map<std::string, absl::Duration> crashes;
    /// Time since an endpoint last answered a request with the part.
    std::optional<absl::Duration> sound_age;
    /// Time since requests with the part have been refused, if they are.
    std::optional<absl::Duration> blocked_age;
    /// Time since the node itself last sent a request with the part as a trial.
    std::optional<absl::Duration> trial_age;

    friend bool operator==(const part_suspicion&, const part_suspicion&) = default;
};

} // namespace chivedeal::forward

#endif
