#ifndef CHIVEDEAL_FORWARD_ENDPOINT_LOAD_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_LOAD_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::forward {

/// One node's requests in progress at an endpoint, and the outcomes of its earlier ones.
struct endpoint_load
{
    endpoint_id endpoint;
    int requests = 0;
    /// Total cost of the prompts that the node has sent there since its start, in the unit of
    /// `endpoint_choice::prefill_cost_tokens`.
    std::int64_t sent_prefill_tokens = 0;
    /// Requests that the endpoint answered, and that it failed, since the node's start.
    std::int64_t answered = 0;
    std::int64_t failed = 0;
    /// Whether requests of the node are unanswered and the endpoint has sent no data for too long.
    bool is_silent = false;
    /// Response times that the node observed recently, in percent of those that an estimate without
    /// observations predicts; 0 if there are none.
    int pace_percent = 0;

    friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace chivedeal::forward

#endif
