#include "chivedeal/requests/run_evidence.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace chivedeal;           // NOLINT(google-build-using-namespace)
using namespace chivedeal::requests; // NOLINT(google-build-using-namespace)

// Guards against reporting "not run" after an attempt that may have run.
RC_GTEST_PROP(run_evidence, reports_not_run_only_after_refused_starts,
              (const std::vector<bool>& refused))
{
    run_evidence evidence;
    bool all_refused = true;
    for (const bool is_refused : refused) {
        evidence = evidence_after_failure(evidence, is_refused ? result_code::endpoint_not_started
                                                               : result_code::endpoint_failed);
        all_refused = all_refused && is_refused;
    }
    RC_ASSERT((failure_outcome(evidence) == outcome::not_run) == all_refused);
    evidence.key_undecided = true;
    RC_ASSERT(failure_outcome(evidence) == outcome::unknown);
}
