#ifndef CHIVEDEAL_FORWARD_ATTEMPT_OUTCOME_HPP
#define CHIVEDEAL_FORWARD_ATTEMPT_OUTCOME_HPP

namespace chivedeal::forward {

/// How an attempt at an endpoint ended without an answer that the caller gets.
enum class attempt_outcome
{
    /// No byte of the request left.
    not_sent,
    /// The endpoint said that it did not run the request.
    refused,
    /// Another endpoint has the address; it did not run the request.
    wrong_endpoint,
    /// The connection ended, was reset or spoke no HTTP after bytes had left.
    broken,
    /// No answer in the time that the attempt had.
    timed_out,
    /// The endpoint answered with a failure of its own; the request ran.
    failed,
};

} // namespace chivedeal::forward

#endif
