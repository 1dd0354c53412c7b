#ifndef CHIVEDEAL_REQUESTS_ATTEMPT_EVENT_HPP
#define CHIVEDEAL_REQUESTS_ATTEMPT_EVENT_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/id.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace chivedeal::requests {

/// The endpoint started the attempt; the engine reports the token counts.
struct attempt_started
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;

    friend bool operator==(const attempt_started&, const attempt_started&) = default;
};

struct attempt_token
{
    std::uint64_t position = 0;
    std::string text;

    friend bool operator==(const attempt_token&, const attempt_token&) = default;
};

/// The endpoint sent its end marker.
struct attempt_ended
{
    friend bool operator==(const attempt_ended&, const attempt_ended&) = default;
};

/// The attempt failed. `endpoint_not_started` means that it certainly did not run; with
/// `endpoint_failed` and `endpoint_lost` it may have run.
struct attempt_failed
{
    error reason;

    friend bool operator==(const attempt_failed&, const attempt_failed&) = default;
};

using attempt_event_body =
    std::variant<attempt_started, attempt_token, attempt_ended, attempt_failed>;

/// An event of one attempt, reported by an endpoint worker.
struct attempt_event
{
    request_id request;
    int attempt = 0;
    attempt_event_body body;

    friend bool operator==(const attempt_event&, const attempt_event&) = default;
};

} // namespace chivedeal::requests

#endif
