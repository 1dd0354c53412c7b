#ifndef CHIVEDEAL_REQUESTS_CALLER_REQUEST_HPP
#define CHIVEDEAL_REQUESTS_CALLER_REQUEST_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::requests {

/// A caller's request as accepted at the edge.
struct caller_request
{
    request_id id;
    workspace_id workspace;
    service_id service;
    std::string route;
    /// 0 is highest, 9 lowest.
    int priority = 5;
    /// Monotonic time.
    absl::Time deadline = absl::InfiniteFuture();
    /// Marks a non-idempotent request; empty for an idempotent one.
    std::string idempotency_key;
    /// JSON object.
    std::string body;
    /// Longest answer, in tokens; 0 when the body names none.
    std::uint64_t max_tokens = 0;
    /// Start of the prompt that endpoints cache, as routing sees it.
    std::string prefix;

    bool idempotent() const { return idempotency_key.empty(); }

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

} // namespace chivedeal::requests

#endif
