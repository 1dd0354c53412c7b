#include "chivedeal/membership/bad_version.hpp"

#include "chivedeal/membership/membership_view.hpp"
#include "chivedeal/state/cluster_state.hpp"

#include <algorithm>

namespace chivedeal::membership {

bool is_found_bad(const state::cluster_state& state, const membership_view& view,
                  const state::endpoint_version& version)
{
    const auto verdict = state.bad_versions.find({version.service, version.name});
    if (verdict != state.bad_versions.end() && verdict->second == version.declared_offset)
        return true;
    return std::any_of(view.bad_versions.begin(), view.bad_versions.end(),
                       [&](const version_bad& fact) {
                           return fact.service == version.service && fact.version == version.name &&
                                  fact.declared_offset == version.declared_offset;
                       });
}

} // namespace chivedeal::membership
