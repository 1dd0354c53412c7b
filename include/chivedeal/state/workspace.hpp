#ifndef CHIVEDEAL_STATE_WORKSPACE_HPP
#define CHIVEDEAL_STATE_WORKSPACE_HPP

#include "chivedeal/core/id.hpp"

namespace chivedeal::state {

/// Declaration at /teams/TEAM/workspaces/NAME.
struct workspace
{
    workspace_id name;
    team_id team;
    /// Requests a second over all nodes.
    double rate = 10;
    /// Requests that may come at once over all nodes.
    double burst = 20;
    /// Used when a request names none; 0 is highest, 9 lowest.
    int priority = 5;
    /// Open requests over all nodes.
    int concurrency = 100;

    friend bool operator==(const workspace&, const workspace&) = default;
};

} // namespace chivedeal::state

#endif
