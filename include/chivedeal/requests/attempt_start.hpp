#ifndef CHIVEDEAL_REQUESTS_ATTEMPT_START_HPP
#define CHIVEDEAL_REQUESTS_ATTEMPT_START_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/id.hpp"
#include "chivedeal/state/service.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal::requests {

/// Tells an endpoint worker to run one attempt.
struct attempt_start
{
    request_id request;
    int attempt = 0;
    endpoint_id endpoint;
    address target;
    state::service_kind kind = state::service_kind::engine;
    version_id version;
    int priority = 5;
    /// Forwarded to plain services; empty for an idempotent request.
    std::string idempotency_key;
    /// Monotonic time.
    absl::Time deadline = absl::InfiniteFuture();
    std::string body;
    /// Tokens that the caller already has; the engine continues after them.
    std::vector<std::string> tokens_so_far;
    /// Handle of a KV cache that the target has imported; empty if there is none.
    std::string kv_handle;

    friend bool operator==(const attempt_start&, const attempt_start&) = default;
};

} // namespace chivedeal::requests

#endif
