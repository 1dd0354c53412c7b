#ifndef CHIVEDEAL_REQUESTS_FLOW_EVENT_HPP
#define CHIVEDEAL_REQUESTS_FLOW_EVENT_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/attempt_event.hpp"
#include "chivedeal/requests/caller_request.hpp"
#include "chivedeal/requests/load_report.hpp"

#include <memory>
#include <variant>

namespace chivedeal::state {
struct cluster_state;
}

namespace chivedeal::membership {
struct membership_view;
}

namespace chivedeal::requests {

struct request_arrived
{
    caller_request request;

    friend bool operator==(const request_arrived&, const request_arrived&) = default;
};

/// The caller's connection is gone.
struct caller_left
{
    request_id request;

    friend bool operator==(const caller_left&, const caller_left&) = default;
};

struct state_changed
{
    std::shared_ptr<const state::cluster_state> state;

    friend bool operator==(const state_changed&, const state_changed&) = default;
};

struct view_changed
{
    std::shared_ptr<const membership::membership_view> view;

    friend bool operator==(const view_changed&, const view_changed&) = default;
};

/// Time passed; deadlines and delayed retries are due.
struct tick
{
    friend bool operator==(const tick&, const tick&) = default;
};

/// What the request flow is told.
using flow_event = std::variant<request_arrived, caller_left, attempt_event, load_report,
                                state_changed, view_changed, tick>;

} // namespace chivedeal::requests

#endif
