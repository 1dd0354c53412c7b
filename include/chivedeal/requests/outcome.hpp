#ifndef CHIVEDEAL_REQUESTS_OUTCOME_HPP
#define CHIVEDEAL_REQUESTS_OUTCOME_HPP

#include <string>

namespace chivedeal::requests {

/// How a request ended, as reported to its caller.
enum class outcome
{
    /// The whole answer was sent.
    answered,
    /// It is certain that the request did not run.
    not_run,
    /// The endpoint started the request and reported a failure.
    failed,
    /// The request may have run.
    unknown,
};

std::string to_string(outcome value);

} // namespace chivedeal::requests

#endif
