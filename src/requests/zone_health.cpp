#include "chivedeal/requests/zone_health.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::requests {

zone_health::zone_health() : zone_health(options{}) {}

zone_health::zone_health(options tunables) : m_options(tunables) {}

void zone_health::on_attempt_ended(const zone_id& zone, bool failed, absl::Time now)
{
    counts& value = m_zones.try_emplace(zone, counts{.updated = now}).first->second;
    const double factor = decay_factor(value, now);
    value.failed = value.failed * factor + (failed ? 1 : 0);
    value.succeeded = value.succeeded * factor + (failed ? 0 : 1);
    value.updated = std::max(value.updated, now);
}

double zone_health::failed_share(const zone_id& zone, absl::Time now) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end())
        return 0;
    const double factor = decay_factor(it->second, now);
    const double failed = it->second.failed * factor;
    return failed / (failed + it->second.succeeded * factor + m_options.prior_successes);
}

double zone_health::decay_factor(const counts& value, absl::Time now) const
{
    const absl::Duration elapsed = std::max(absl::ZeroDuration(), now - value.updated);
    return std::exp2(-absl::FDivDuration(elapsed, m_options.half_life));
}

} // namespace chivedeal::requests
