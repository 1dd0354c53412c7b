#ifndef CHIVEDEAL_FORWARD_CALLER_LISTENER_HPP
#define CHIVEDEAL_FORWARD_CALLER_LISTENER_HPP

#include "chivedeal/forward/http_request.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::forward {

/// Hears of callers' requests. The handler answers each request through `caller_side`.
class caller_listener
{
public:
    virtual ~caller_listener() = default;

    /// `started` is when the request's first byte was read.
    virtual void on_request(std::uint64_t connection, int listener, http_request request,
                            absl::Time started, absl::Time now) = 0;
    /// The caller closed its connection before its answer was complete.
    virtual void on_caller_left(std::uint64_t connection, absl::Time now) = 0;
    /// What was held back can be written again.
    virtual void on_caller_writable(std::uint64_t connection) = 0;
};

} // namespace chivedeal::forward

#endif
