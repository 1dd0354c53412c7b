#ifndef CHIVEDEAL_REQUESTS_RECLAIM_STEP_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_STEP_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/reclaim_action.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::requests {

/// What to do with one stream and when.
struct reclaim_step
{
    request_id request;
    endpoint_id source;
    reclaim_action action = reclaim_action::finish;
    /// Empty for `finish`, and when no listed target has room: routing then chooses.
    endpoint_id target;
    /// Since the plan was made.
    absl::Duration start;
    /// Until the target goes on, or until the stream ends.
    absl::Duration end;
    std::string reason;

    friend bool operator==(const reclaim_step&, const reclaim_step&) = default;
};

} // namespace chivedeal::requests

#endif
