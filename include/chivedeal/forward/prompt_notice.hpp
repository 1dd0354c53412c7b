#ifndef CHIVEDEAL_FORWARD_PROMPT_NOTICE_HPP
#define CHIVEDEAL_FORWARD_PROMPT_NOTICE_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// Tells peers that a node sent a long prompt to an endpoint. It is sent at once, because the
/// endpoint has usually read the prompt before the node's next beacon arrives.
struct prompt_notice
{
    node_id node;
    endpoint_id endpoint;
    /// Cost of this prompt, in the unit of `endpoint_load::sent_prefill_tokens`.
    std::int64_t tokens = 0;

    friend bool operator==(const prompt_notice&, const prompt_notice&) = default;
};

} // namespace chivedeal::forward

#endif
