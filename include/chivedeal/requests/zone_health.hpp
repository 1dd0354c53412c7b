#ifndef CHIVEDEAL_REQUESTS_ZONE_HEALTH_HPP
#define CHIVEDEAL_REQUESTS_ZONE_HEALTH_HPP

#include "chivedeal/core/id.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chivedeal::requests {

/// Share of recent attempts that failed in each zone, with exponential decay of old outcomes.
class zone_health
{
public:
    struct options
    {
        /// Time after which an outcome counts half.
        absl::Duration half_life = absl::Seconds(15);
        /// Successes assumed in advance, so that a single failure has little weight.
        double prior_successes = 4;
    };

    zone_health();
    explicit zone_health(options tunables);

    void on_attempt_ended(const zone_id& zone, bool failed, absl::Time now);

    /// Returns 0 (no failures) to 1 (only failures).
    double failed_share(const zone_id& zone, absl::Time now) const;

private:
    struct counts
    {
        double failed = 0;
        double succeeded = 0;
        absl::Time updated;
    };

    double decay_factor(const counts& value, absl::Time now) const;

    options m_options;
    absl::flat_hash_map<zone_id, counts> m_zones;
};

} // namespace chivedeal::requests

#endif
