#ifndef CHIVEDEAL_REQUESTS_OUTCOME_HPP
#define CHIVEDEAL_REQUESTS_OUTCOME_HPP

#include <string>

namespace chivedeal::requests {

/// How a request ended, as its caller is told.
enum class outcome
{
    /// The whole answer was sent.
    answered,
    /// The request certainly did not run.
    not_run,
    /// The endpoint started and reported a failure.
    failed,
    /// The request may have run.
    unknown,
};

std::string to_string(outcome value);

} // namespace chivedeal::requests

#endif
