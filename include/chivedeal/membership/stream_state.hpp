#ifndef CHIVEDEAL_MEMBERSHIP_STREAM_STATE_HPP
#define CHIVEDEAL_MEMBERSHIP_STREAM_STATE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivedeal::membership {

/// A running stream on its way to a peer.
struct stream_state
{
    request_id request;
    workspace_id workspace;
    service_id service;
    version_id version;
    std::string route;
    int priority = 5;
    int attempt = 0;
    /// Time left until the caller's deadline.
    absl::Duration remaining;
    /// JSON of the caller's request.
    std::string body;
    std::vector<std::string> tokens;
    /// Whether the answer is complete; a peer then only keeps it for the caller.
    bool finished = false;
    std::string outcome;

    friend bool operator==(const stream_state&, const stream_state&) = default;
};

} // namespace chivedeal::membership

#endif
