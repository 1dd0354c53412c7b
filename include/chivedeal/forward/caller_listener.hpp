#ifndef CHIVEDEAL_FORWARD_CALLER_LISTENER_HPP
#define CHIVEDEAL_FORWARD_CALLER_LISTENER_HPP

#include "chivedeal/forward/http_request.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

struct rejection;

/// Receives the events of caller connections. The handler responds to each request through
/// `caller_side`.
class caller_listener
{
public:
    virtual ~caller_listener() = default;

    /// `listener` is the one that accepted the connection; `started` is when the request's first
    /// byte was read.
    virtual void on_request(std::uint64_t connection_id, int listener, http_request request,
                            absl::Time started, absl::Time now) = 0;
    /// The caller closed its connection before its response was complete.
    virtual void on_caller_disconnected(std::uint64_t connection_id, absl::Time now) = 0;
    /// All output so far is written to the socket while a response is in progress, so that parts
    /// of the response that were held back can be sent.
    virtual void on_caller_writable(std::uint64_t connection_id) = 0;
    /// Memory is short: gives up what `caller_side::charge_request` was told to be releasable.
    virtual void on_release_requested(std::uint64_t connection_id, absl::Time now) = 0;
    /// Memory is short: ends the request in progress. The connection is closed if that leaves it
    /// without a complete response.
    virtual void on_shed(std::uint64_t connection_id, absl::Time now) = 0;
    /// Returns the response to a request that was not read to its end: with status 503 for lack of
    /// memory, 400, 408, 413 or 431.
    virtual rejection make_rejection(int status) const = 0;
};

} // namespace chivedeal::forward

#endif
