#ifndef CHIVEDEAL_REGIONS_EVACUATION_LOG_HPP
#define CHIVEDEAL_REGIONS_EVACUATION_LOG_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/regions/zone_evacuation.hpp"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <vector>

namespace chivedeal::regions {

/// Determines the evacuated zones from the operator's records.
class evacuation_log
{
public:
    /// Applies one record. An older record than the last one of its zone has no effect, as relayed
    /// batches may overlap. Returns whether the set of evacuated zones changed.
    bool on_record(const zone_evacuation& record);

    /// Applies a complete read of the newest records. Zones that are missing from it are not
    /// evacuated, unless the store was restored a moment ago. Returns whether the set of evacuated
    /// zones changed.
    bool on_list(const std::vector<zone_evacuation>& records, absl::Time now);

    /// The store was restored from an older copy: its offsets go back, and what the operator wrote
    /// since is missing until it is written again.
    void on_restored(absl::Time now);
    /// Whether the newest records have to be read again, as the time in which they are rewritten
    /// after a restore is over.
    bool must_list_again(absl::Time now) const { return now >= m_held_until; }

    std::set<zone_id> zones() const;

private:
    std::map<zone_id, zone_evacuation> m_newest;
    // Until then, evacuations that are missing from a restored store stay in force.
    absl::Time m_held_until = absl::InfiniteFuture();
};

} // namespace chivedeal::regions

#endif
