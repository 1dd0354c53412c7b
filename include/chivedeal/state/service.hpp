#ifndef CHIVEDEAL_STATE_SERVICE_HPP
#define CHIVEDEAL_STATE_SERVICE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal::state {

enum class service_kind
{
    engine,
    plain,
};

/// Declaration at /teams/TEAM/services/NAME.
struct service
{
    service_id name;
    team_id team;
    service_kind kind = service_kind::engine;
    /// Target time to the first token, or to the response of a plain service.
    absl::Duration latency_target = absl::Milliseconds(1200);
    absl::Duration token_gap = absl::Milliseconds(51);
    /// Whether the service's endpoints reject orders with a stale fencing token.
    bool checks_fencing = false;
    /// Routes that callers may request; empty allows any.
    std::vector<std::string> routes;
    /// Minimum endpoints that placement provides in each region, counted after the loss of any one
    /// zone's reclaimable instances.
    int min_endpoints = 0;
    /// Maximum endpoints up to which placement starts instances in each region; 0 leaves the
    /// service's instances to the operators.
    int max_endpoints = 0;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace chivedeal::state

#endif
