#ifndef CHIVEDEAL_REGIONS_ZONE_EVACUATION_HPP
#define CHIVEDEAL_REGIONS_ZONE_EVACUATION_HPP

#include "chivedeal/core/id.hpp"

#include <cstdint>

namespace chivedeal::regions {

/// The operator's record that starts or ends the evacuation of a zone.
struct zone_evacuation
{
    zone_id zone;
    bool in_force = true;
    /// Offset of the record in its topic.
    std::uint64_t offset = 0;

    friend bool operator==(const zone_evacuation&, const zone_evacuation&) = default;
};

} // namespace chivedeal::regions

#endif
