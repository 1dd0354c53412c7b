#ifndef CHIVEDEAL_REQUESTS_ENDPOINT_CLIENT_HPP
#define CHIVEDEAL_REQUESTS_ENDPOINT_CLIENT_HPP

#include <functional>

namespace chivedeal::requests {

struct attempt_event;
struct attempt_start;

/// Runs attempts at endpoints.
class endpoint_client
{
public:
    virtual ~endpoint_client() = default;

    /// Blocks until the attempt is over and reports each event; the last one is `attempt_ended` or
    /// `attempt_failed`. `report` returns false to abandon the attempt.
    virtual void run(const attempt_start& start,
                     const std::function<bool(attempt_event)>& report) = 0;
};

} // namespace chivedeal::requests

#endif
