#include "chivedeal/control/held_leases.hpp"

#include "chivedeal/core/mechanism.hpp"

namespace chivedeal::control {

std::optional<held_lease> held_leases::find(const std::string& scope, absl::Time now) const
{
    for (const held_lease& candidate : leases) {
        if (candidate.scope != scope)
            continue;
        if (is_enabled(mechanism::lease_fencing) && now >= candidate.expires_at)
            return std::nullopt;
        return candidate;
    }
    return std::nullopt;
}

} // namespace chivedeal::control
