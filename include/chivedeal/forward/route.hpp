#ifndef CHIVEDEAL_FORWARD_ROUTE_HPP
#define CHIVEDEAL_FORWARD_ROUTE_HPP

#include "chivedeal/forward/route_kind.hpp"
#include "chivedeal/forward/weighted_service.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal::forward {

/// How requests of one host and path prefix are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Longest time a request is kept waiting.
    absl::Duration timeout = absl::Seconds(10);
    /// Objective for the answer, of a stream for its first event.
    absl::Duration goal = absl::Seconds(1);
    /// Longest pause between events that is still on time.
    absl::Duration gap_goal = absl::InfiniteDuration();
    /// 0 is the highest.
    int priority = 0;
    /// Endpoints to which one request may be sent.
    int attempts = 1;
    /// Requests need no key.
    bool is_public = false;
    /// A stream may go on at another endpoint after its last event.
    bool resumable = false;
    std::vector<weighted_service> services;

    /// Whether a request that may have run may be sent again.
    bool may_repeat() const { return kind == route_kind::idempotent || resumable; }

    friend bool operator==(const route&, const route&) = default;
};

} // namespace chivedeal::forward

#endif
