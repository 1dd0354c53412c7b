#ifndef CHIVEDEAL_REQUESTS_FLOW_COMMAND_HPP
#define CHIVEDEAL_REQUESTS_FLOW_COMMAND_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/attempt_start.hpp"

#include <variant>

namespace chivedeal::requests {

/// Sends an event to the caller of a request.
struct send_answer
{
    request_id request;
    answer_event event;

    friend bool operator==(const send_answer&, const send_answer&) = default;
};

/// Tells the endpoint to stop an attempt.
struct cancel_attempt
{
    request_id request;
    int attempt = 0;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// What the request flow wants done.
using flow_command = std::variant<attempt_start, cancel_attempt, send_answer>;

} // namespace chivedeal::requests

#endif
