#include "chivedeal/requests/run_evidence.hpp"

namespace chivedeal::requests {

run_evidence after_failure(run_evidence before, result_code reason)
{
    if (reason == result_code::endpoint_not_started)
        return before;
    before.may_have_run = true;
    before.lost = before.lost || reason != result_code::endpoint_failed;
    return before;
}

outcome failure_outcome(const run_evidence& evidence)
{
    if (evidence.lost || evidence.key_undecided)
        return outcome::unknown;
    return evidence.may_have_run ? outcome::failed : outcome::not_run;
}

} // namespace chivedeal::requests
