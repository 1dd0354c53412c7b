#ifndef CHIVEDEAL_FORWARD_ENDPOINT_LISTENER_HPP
#define CHIVEDEAL_FORWARD_ENDPOINT_LISTENER_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/attempt_failure.hpp"
#include "chivedeal/forward/http_response_head.hpp"
#include "chivedeal/forward/probe_result.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string_view>

namespace chivedeal::forward {

/// Receives the events of attempts to send requests to endpoints. `on_response_end` or
/// `on_attempt_failed` is the last event of an attempt.
class endpoint_listener
{
public:
    virtual ~endpoint_listener() = default;

    /// The first byte of the request was written to the socket.
    virtual void on_request_sent(std::uint64_t exchange_id, absl::Time now) = 0;
    /// The whole request was written to the socket.
    virtual void on_request_written(std::uint64_t exchange_id, absl::Time now) = 0;
    virtual void on_response_head(std::uint64_t exchange_id, const http_response_head& head,
                                  absl::Time now) = 0;
    virtual void on_response_body(std::uint64_t exchange_id, std::string_view bytes,
                                  absl::Time now) = 0;
    virtual void on_response_end(std::uint64_t exchange_id, absl::Time now) = 0;
    /// The attempt failed. `reason` is for the log.
    virtual void on_attempt_failed(std::uint64_t exchange_id, attempt_failure failure,
                                   const char* reason, absl::Time now) = 0;
    /// A probe that `endpoint_side::probe` began has ended.
    virtual void on_probe_ended(const endpoint_id& endpoint, probe_result result,
                                absl::Time now) = 0;
};

} // namespace chivedeal::forward

#endif
