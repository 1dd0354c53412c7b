#ifndef CHIVEDEAL_STATE_WORKSPACE_HPP
#define CHIVEDEAL_STATE_WORKSPACE_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::state {

/// Declaration at /teams/TEAM/workspaces/NAME.
struct workspace
{
    workspace_id name;
    team_id team;
    /// Maximum requests per second across all nodes.
    double rate = 10;
    /// Maximum burst of requests across all nodes.
    double burst = 20;
    /// Priority of requests that specify none; 0 is highest, 9 lowest.
    int priority = 5;
    /// Maximum open requests across all nodes.
    int concurrency = 100;

    friend bool operator==(const workspace&, const workspace&) = default;
};

} // namespace chivedeal::state

#endif
