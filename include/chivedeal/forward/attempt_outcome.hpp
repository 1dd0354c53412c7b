#ifndef CHIVEDEAL_FORWARD_ATTEMPT_OUTCOME_HPP
#define CHIVEDEAL_FORWARD_ATTEMPT_OUTCOME_HPP

namespace chivedeal::forward {

/// Reason why an attempt at an endpoint yielded no response for the caller.
enum class attempt_outcome
{
    /// No byte of the request was sent.
    not_sent,
    /// The endpoint replied that it did not run the request.
    refused,
    /// The address now belongs to another endpoint, which did not run the request.
    wrong_endpoint,
    /// After bytes of the request were sent, the connection was closed or reset, or the response
    /// was not valid.
    broken,
    /// The endpoint sent no data before the deadline of the attempt.
    timed_out,
    /// The endpoint ran the request and responded with an error status.
    failed,
};

} // namespace chivedeal::forward

#endif
