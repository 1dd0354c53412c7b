#ifndef CHIVEDEAL_REQUESTS_REQUEST_FLOW_HPP
#define CHIVEDEAL_REQUESTS_REQUEST_FLOW_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/requests/admission.hpp"
#include "chivedeal/requests/answer_store.hpp"
#include "chivedeal/requests/body_budget.hpp"
#include "chivedeal/requests/drain_controller.hpp"
#include "chivedeal/requests/flow_command.hpp"
#include "chivedeal/requests/flow_event.hpp"
#include "chivedeal/requests/reclaim_planner.hpp"
#include "chivedeal/requests/retry_backoff.hpp"
#include "chivedeal/requests/retry_budget.hpp"
#include "chivedeal/requests/workspace_limiter.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal {
class metrics;
}

namespace chivedeal::requests {

class route_policy;

namespace detail {
class flow_core;
}

/// Manages all requests of the node from arrival to outcome. Performs no I/O: side effects are
/// returned as commands.
///
///     request_flow flow({.policy = policy, .node = node_id("n1"), .incarnation = "a4f0"});
///     for (const flow_command& command : flow.handle(event, now))
///         execute(command);
class request_flow
{
public:
    struct options
    {
        route_policy& policy;
        node_id node;
        /// Unique to each start of the node, so that claims from before a restart are not mistaken
        /// for claims of this process.
        std::string incarnation;
        /// Receives the counters; may be null.
        metrics* counters = nullptr;
        absl::Duration claim_timeout = absl::Seconds(3);
        /// How long an idempotent request keeps running after its caller disconnects.
        absl::Duration resume_window = absl::Seconds(10);
        /// Number of failed attempts after which a request fails.
        int max_attempts = 6;
        /// Larger results are stored as `unknown`, since every node keeps every record.
        std::size_t max_result_bytes = 64 * 1024;
        answer_store::options answers = {};
        retry_budget::options retries = {};
        retry_backoff::options backoff = {};
        admission::options shedding = {};
        body_budget::options bodies = {};
        workspace_limiter::options limits = {};
        reclaim_planner::options reclaims = {};
        drain_controller::options drain = {};
    };

    explicit request_flow(options settings);
    ~request_flow();

    /// Processes an event and returns the commands to execute, in order.
    std::vector<flow_command> handle(const flow_event& event, absl::Time now);

    std::size_t open_requests() const;

    /// Demand and open requests of this node by workspace, to be gossiped to peers.
    std::map<workspace_id, double> demand(absl::Time now);
    std::map<workspace_id, int> open_by_workspace() const;

private:
    std::unique_ptr<detail::flow_core> m_core;
};

} // namespace chivedeal::requests

#endif
