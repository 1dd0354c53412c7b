#ifndef CHIVEDEAL_REQUESTS_RECLAIM_STEP_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_STEP_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/reclaim_action.hpp"

#include "absl/time/time.h"

#include <string>

namespace chivedeal::requests {

/// A planned action for one stream and its times, counted from the creation of the plan.
struct reclaim_step
{
    request_id request;
    endpoint_id source;
    reclaim_action action = reclaim_action::finish;
    /// Empty for `finish`, and if no listed target has capacity: the router then chooses one.
    endpoint_id target;
    absl::Duration start;
    /// When the target continues the stream, or when the stream ends.
    absl::Duration end;
    std::string reason;

    friend bool operator==(const reclaim_step&, const reclaim_step&) = default;
};

} // namespace chivedeal::requests

#endif
