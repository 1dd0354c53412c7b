#include "chivedeal/requests/run_evidence.hpp"

namespace chivedeal::requests {

run_evidence evidence_after_failure(run_evidence before, result_code reason)
{
    if (reason == result_code::endpoint_not_started)
        return before;
    before.may_have_run = true;
    before.attempt_lost = before.attempt_lost || reason != result_code::endpoint_failed;
    return before;
}

outcome failure_outcome(const run_evidence& evidence)
{
    if (evidence.attempt_lost || evidence.key_undecided)
        return outcome::unknown;
    return evidence.may_have_run ? outcome::failed : outcome::not_run;
}

} // namespace chivedeal::requests
