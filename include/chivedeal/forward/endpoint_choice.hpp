#ifndef CHIVEDEAL_FORWARD_ENDPOINT_CHOICE_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_CHOICE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/endpoints/sent_request.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// The endpoint chosen for an attempt, and the estimates behind the choice.
struct endpoint_choice
{
    endpoint_id id;
    chivedeal::address address;
    version_id version;
    /// `endpoint_record::started_at_unix_ms` of the incarnation that was chosen.
    std::int64_t started_at_unix_ms = 0;
    /// Predicted time to the first byte of the response.
    absl::Duration predicted_first_byte_time;
    /// Prompt tokens that are expected in the endpoint's cache.
    std::int64_t cached_tokens = 0;
    /// Cost of reading the uncached part of the prompt, in tokens at the start of a prompt. Tokens
    /// further on count for more than one, as they take longer to read.
    std::int64_t prefill_cost_tokens = 0;
    /// What the endpoint has to do before the first byte, as far as this node knows.
    endpoints::sent_request expected_work;
    /// Requests beyond which the endpoint is expected to slow down.
    double concurrency_limit = 0;
    /// Number of endpoints that were eligible.
    int candidates = 0;

    friend bool operator==(const endpoint_choice&, const endpoint_choice&) = default;
};

} // namespace chivedeal::forward

#endif
