#ifndef CHIVEDEAL_FORWARD_SCALE_SPEC_HPP
#define CHIVEDEAL_FORWARD_SCALE_SPEC_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::forward {

/// Bounds and prices for scaling a service's endpoints.
struct scale_spec
{
    /// Bounds for each zone, for reclaimable and on-demand endpoints together.
    int min_per_zone = 0;
    int max_per_zone = 0;
    /// Time from the order until the endpoint serves requests.
    absl::Duration boot_time;
    /// Price of a reclaimable endpoint as a fraction of the on-demand price.
    double reclaimable_price = 1;
    /// Price per endpoint and second, by zone.
    std::map<zone_id, double> zone_prices;

    friend bool operator==(const scale_spec&, const scale_spec&) = default;
};

} // namespace chivedeal::forward

#endif
