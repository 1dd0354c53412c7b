#include "chivedeal/forward/stable_versions.hpp"

#include "chivedeal/forward/rollout_state.hpp"
#include "chivedeal/forward/rollout_status.hpp"

#include <algorithm>
#include <iterator>

namespace chivedeal::forward {

std::set<version_id> stable_versions_after(const rollout_status& earlier)
{
    if (earlier.state == rollout_state::done)
        return {earlier.target};
    std::set<version_id> stable = earlier.stable;
    if (earlier.proven && !stable.empty())
        stable.insert(earlier.target);
    return stable;
}

std::set<version_id> stable_versions_for(const version_id& target,
                                         const std::set<version_id>& known,
                                         const std::set<version_id>& listed)
{
    std::set<version_id> stable;
    std::set_intersection(known.begin(), known.end(), listed.begin(), listed.end(),
                          std::inserter(stable, stable.end()));
    if (!stable.empty())
        return stable;
    // The versions that are left serve the traffic, whatever was ordered before.
    stable = listed;
    stable.erase(target);
    return stable.empty() ? listed : stable;
}

} // namespace chivedeal::forward
