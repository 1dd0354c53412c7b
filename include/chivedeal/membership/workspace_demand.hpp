#ifndef CHIVEDEAL_MEMBERSHIP_WORKSPACE_DEMAND_HPP
#define CHIVEDEAL_MEMBERSHIP_WORKSPACE_DEMAND_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::membership {

/// What one node sees of a workspace; a higher sequence replaces a lower one.
struct workspace_demand
{
    node_id node;
    workspace_id workspace;
    std::uint64_t sequence = 0;
    /// Requests a second.
    double rate = 0;
    int open_requests = 0;

    friend bool operator==(const workspace_demand&, const workspace_demand&) = default;
};

} // namespace chivedeal::membership

#endif
