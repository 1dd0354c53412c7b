#ifndef CHIVEDEAL_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define CHIVEDEAL_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/membership/endpoint.hpp"
#include "chivedeal/membership/fact.hpp"
#include "chivedeal/membership/node_record.hpp"
#include "chivedeal/membership/outcome_count.hpp"

#include <map>
#include <vector>

namespace chivedeal::membership {

/// What a node knows of nodes and endpoints; immutable once published.
struct membership_view
{
    node_id self;
    std::vector<node_record> nodes;
    /// Listed endpoints with the facts applied; a leaving one has status `leaving`.
    std::vector<endpoint> endpoints;
    std::vector<version_bad> bad_versions;
    /// Requests a second that each other node sees of a workspace.
    std::map<workspace_id, std::map<node_id, double>> demand;
    /// Open requests of a workspace at each other node.
    std::map<workspace_id, std::map<node_id, int>> open_requests;
    /// Counts of all other nodes.
    std::vector<outcome_count> outcomes;

    friend bool operator==(const membership_view&, const membership_view&) = default;
};

} // namespace chivedeal::membership

#endif
