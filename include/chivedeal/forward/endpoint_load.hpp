#ifndef CHIVEDEAL_FORWARD_ENDPOINT_LOAD_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_LOAD_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// What one node has under way at an endpoint, and how its requests there ended.
struct endpoint_load
{
    endpoint_id endpoint;
    int requests = 0;
    /// What the node gave the endpoint to read since the node's start, in tokens of a short prompt.
    std::int64_t sent_tokens = 0;
    /// Requests since the node's start that the endpoint answered, and that it failed.
    std::int64_t answered = 0;
    std::int64_t failed = 0;
    /// Requests of the node wait there, and nothing has come from it for long.
    bool is_silent = false;

    friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace chivedeal::forward

#endif
