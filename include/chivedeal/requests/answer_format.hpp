#ifndef CHIVEDEAL_REQUESTS_ANSWER_FORMAT_HPP
#define CHIVEDEAL_REQUESTS_ANSWER_FORMAT_HPP

#include "chivedeal/core/error.hpp"
#include "chivedeal/core/result_code.hpp"
#include "chivedeal/requests/answer_event.hpp"
#include "chivedeal/requests/outcome.hpp"

#include <string>

namespace chivedeal::requests {

/// Formats an event as a server-sent event.
std::string format_answer_event(const answer_event& event);

/// Body of a response that refuses a request.
std::string format_refusal(const error& reason, outcome result);
/// HTTP status of such a response.
int refusal_status(result_code code);

} // namespace chivedeal::requests

#endif
