#ifndef CHIVEDEAL_FORWARD_ROUTE_HPP
#define CHIVEDEAL_FORWARD_ROUTE_HPP

#include "chivedeal/forward/route_kind.hpp"
#include "chivedeal/forward/weighted_service.hpp"
#include "chivedeal/regions/home_regions.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// Defines how requests for one host and path prefix are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Maximum time until a request is completed or fails.
    absl::Duration timeout = absl::Seconds(10);
    /// Latency objective: time to the response, for a stream to its first event.
    absl::Duration latency_objective = absl::Seconds(1);
    /// Latency objective for the interval between two events of a stream.
    absl::Duration event_gap_objective = absl::InfiniteDuration();
    /// 0 is the highest priority.
    int priority = 0;
    /// Maximum number of endpoints to which one request is sent.
    int max_attempts = 1;
    /// Requests need no workspace key.
    bool is_public = false;
    /// A broken stream may be resumed at another endpoint after its last complete event.
    bool resumable = false;
    std::vector<weighted_service> services;
    /// Requests are sent only to endpoints in these regions.
    regions::home_regions homes;

    /// Whether a request may be sent again although an endpoint may have run it.
    bool may_repeat() const { return kind == route_kind::idempotent || resumable; }

    friend bool operator==(const route&, const route&) = default;
};

} // namespace chivedeal::forward

#endif
