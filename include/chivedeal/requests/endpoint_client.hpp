#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_CLIENT_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_CLIENT_HPP

#include "chivedeal/core/result.hpp"

#include <functional>
#include <string>

namespace chivedeal::requests {

struct attempt_event;
struct attempt_start;
struct cancel_attempt;
struct move_kv;

/// Runs attempts at endpoints. Implementations must be thread-safe.
class endpoint_client
{
public:
    virtual ~endpoint_client() = default;

    /// Blocks until the attempt has ended and reports each event; the last one is `attempt_ended` or
    /// `attempt_failed`. `report` returns false to abandon the attempt.
    virtual void run(const attempt_start& start,
                     const std::function<bool(attempt_event)>& report) = 0;

    /// Makes `run` of the attempt return, even if it is only called later, and notifies the
    /// endpoint.
    virtual void cancel(const cancel_attempt& order) = 0;

    /// Exports the KV cache of a running attempt and imports it at the target. Returns the handle
    /// for the attempt at the target, or `endpoint_failed` or `endpoint_lost`.
    virtual result<std::string> move(const move_kv& order) = 0;
};

} // namespace chivedeal::requests

#endif
