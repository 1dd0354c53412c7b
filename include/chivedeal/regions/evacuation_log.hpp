#ifndef CHIVEDEAL_REGIONS_EVACUATION_LOG_HPP
#define CHIVEDEAL_REGIONS_EVACUATION_LOG_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/regions/zone_evacuation.hpp"

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
    /// evacuated. Returns whether the set of evacuated zones changed.
    bool on_list(const std::vector<zone_evacuation>& records);

    std::set<zone_id> zones() const;

private:
    std::map<zone_id, zone_evacuation> m_newest;
};

} // namespace chivedeal::regions

#endif
