#ifndef CHIVEDEAL_FORWARD_PROMPT_REFUSAL_HPP
#define CHIVEDEAL_FORWARD_PROMPT_REFUSAL_HPP

#include "absl/time/time.h"

namespace chivedeal::forward {

/// Why and for how long requests with a prompt part are refused.
struct prompt_refusal
{
    /// The part is blocked; otherwise it is only suspect.
    bool blocked = false;
    absl::Duration retry_after;

    friend bool operator==(const prompt_refusal&, const prompt_refusal&) = default;
};

} // namespace chivedeal::forward

#endif
