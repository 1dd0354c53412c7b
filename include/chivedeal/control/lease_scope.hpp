#ifndef CHIVEDEAL_CONTROL_LEASE_SCOPE_HPP
#define CHIVEDEAL_CONTROL_LEASE_SCOPE_HPP

#include "chivedeal/core/id.hpp"

#include <string>
#include <vector>

namespace chivedeal::control {

/// Scope of the node that writes snapshots of the state.
std::string snapshot_scope();

/// Scope of the node that starts and stops the instances of a region.
std::string placement_scope(const region_id& region);

/// Scope of the node that advances the moves of a service. Services share a few scopes, so that
/// renewals do not grow with their number.
std::string move_scope(const service_id& service);

/// All scopes that a node of the region competes for.
std::vector<std::string> lease_scopes(const region_id& region);

} // namespace chivedeal::control

#endif
