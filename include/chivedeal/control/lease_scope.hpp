#ifndef CHIVEDEAL_CONTROL_LEASE_SCOPE_HPP
#define CHIVEDEAL_CONTROL_LEASE_SCOPE_HPP

#include "chivedeal/core/id.hpp"

#include <string>
#include <vector>

namespace chivedeal::control {

/// Returns the lease scope for writing snapshots of the state.
std::string snapshot_scope();

/// Returns the lease scope for starting and stopping the instances of `region`.
std::string placement_scope(const region_id& region);

/// Returns the lease scope for advancing the version moves of `service`. Services share a few
/// scopes, so that the number of renewals does not grow with the number of services.
std::string move_scope(const service_id& service);

/// Returns all scopes that the nodes of `region` compete for.
std::vector<std::string> lease_scopes(const region_id& region);

} // namespace chivedeal::control

#endif
