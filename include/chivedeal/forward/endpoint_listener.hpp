#ifndef CHIVEDEAL_FORWARD_ENDPOINT_LISTENER_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_LISTENER_HPP

#include "chivedeal/forward/http_response_head.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string_view>

namespace chivedeal::forward {

/// Hears how attempts at endpoints go. After `on_answer_end` and `on_attempt_lost` nothing more
/// comes of an attempt.
class endpoint_listener
{
public:
    virtual ~endpoint_listener() = default;

    /// The first byte of the request left.
    virtual void on_request_sent(std::uint64_t exchange, absl::Time now) = 0;
    virtual void on_answer_head(std::uint64_t exchange, const http_response_head& head,
                                absl::Time now) = 0;
    virtual void on_answer_body(std::uint64_t exchange, std::string_view bytes, absl::Time now) = 0;
    virtual void on_answer_end(std::uint64_t exchange, absl::Time now) = 0;
    /// `reason` is for the log. `sent` tells whether a byte of the request left.
    virtual void on_attempt_lost(std::uint64_t exchange, bool sent, const char* reason,
                                 absl::Time now) = 0;
};

} // namespace chivedeal::forward

#endif
