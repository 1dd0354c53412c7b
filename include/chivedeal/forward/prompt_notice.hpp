#ifndef CHIVEDEAL_FORWARD_PROMPT_NOTICE_HPP
#define CHIVEDEAL_FORWARD_PROMPT_NOTICE_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// A node gave an endpoint a long prompt. Told at once: the endpoint has mostly read it when the
/// node's next beacon comes.
struct prompt_notice
{
    node_id node;
    endpoint_id endpoint;
    /// As in `endpoint_load::sent_tokens`, of this prompt alone.
    std::int64_t tokens = 0;

    friend bool operator==(const prompt_notice&, const prompt_notice&) = default;
};

} // namespace chivedeal::forward

#endif
