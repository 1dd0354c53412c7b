#ifndef CHIVEDEAL_REQUESTS_RUN_EVIDENCE_HPP
#define CHIVEDEAL_REQUESTS_RUN_EVIDENCE_HPP

#include "chivedeal/core/result_code.hpp"
#include "chivedeal/requests/outcome.hpp"

namespace chivedeal::requests {

/// What is known of whether a request ran, over all of its attempts.
struct run_evidence
{
    /// An endpoint started it, or may have.
    bool may_have_run = false;
    /// An attempt ended without a word from its endpoint.
    bool lost = false;
    /// Another request under the same key may have run, as long as the log has not decided.
    bool key_undecided = false;

    friend bool operator==(const run_evidence&, const run_evidence&) = default;
};

/// Adds the end of an attempt with `reason`; `endpoint_not_started` alone adds nothing.
run_evidence after_failure(run_evidence before, result_code reason);

/// Returns the outcome of a request that has no complete answer. `not_run` only where certain.
///
///     failure_outcome({.may_have_run = true, .lost = true}); // unknown
outcome failure_outcome(const run_evidence& evidence);

} // namespace chivedeal::requests

#endif
