#ifndef CHIVEDEAL_FORWARD_STABLE_VERSIONS_HPP
#define CHIVEDEAL_FORWARD_STABLE_VERSIONS_HPP

#include "chivedeal/core/id.hpp"

#include <set>

namespace chivedeal::forward {

struct rollout_status;

/// Versions that carry a service's traffic after a roll-out with this status, whether it has ended or
/// another order replaces it. Empty if the status doesn't say.
std::set<version_id> stable_versions_after(const rollout_status& earlier);

/// Versions that carry the traffic when `target` is ordered. `known` are those of before, `listed`
/// those with endpoints.
std::set<version_id> stable_versions_for(const version_id& target,
                                         const std::set<version_id>& known,
                                         const std::set<version_id>& listed);

} // namespace chivedeal::forward

#endif
