#ifndef CHIVEDEAL_REQUESTS_RUN_EVIDENCE_HPP
#define CHIVEDEAL_REQUESTS_RUN_EVIDENCE_HPP

#include "chivedeal/core/result_code.hpp"
#include "chivedeal/requests/outcome.hpp"

namespace chivedeal::requests {

/// What is known about whether a request ran, over all of its attempts.
struct run_evidence
{
    /// An endpoint started the request, or may have.
    bool may_have_run = false;
    /// An attempt ended without a reply from its endpoint.
    bool attempt_lost = false;
    /// The log has not decided on the idempotency key yet, so another request with the same key
    /// may have run.
    bool key_undecided = false;

    friend bool operator==(const run_evidence&, const run_evidence&) = default;
};

/// Returns the evidence after an attempt failed with `reason`; only `endpoint_not_started` leaves
/// it unchanged.
run_evidence evidence_after_failure(run_evidence before, result_code reason);

/// Returns the outcome of a request without a complete answer; `not_run` only if that is certain.
///
///     failure_outcome({.may_have_run = true, .attempt_lost = true}); // unknown
outcome failure_outcome(const run_evidence& evidence);

} // namespace chivedeal::requests

#endif
