#ifndef CHIVEDEAL_REQUESTS_CALLER_REQUEST_HPP
#define CHIVEDEAL_REQUESTS_CALLER_REQUEST_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::requests {

/// A request that was accepted from a caller.
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
    /// Set for non-idempotent requests only; empty for idempotent ones.
    std::string idempotency_key;
    /// JSON object.
    std::string body;
    /// Maximum length of the answer, in tokens; 0 if the body sets none.
    std::uint64_t max_tokens = 0;
    /// Start of the prompt, which endpoints cache; used by prefix-aware routing.
    std::string prefix;

    bool idempotent() const { return idempotency_key.empty(); }

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

} // namespace chivedeal::requests

#endif
