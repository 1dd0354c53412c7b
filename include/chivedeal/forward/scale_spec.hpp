#ifndef CHIVEDEAL_FORWARD_SCALE_SPEC_HPP
#define CHIVEDEAL_FORWARD_SCALE_SPEC_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <map>

namespace chivedeal::forward {

/// Bounds and prices for the number of endpoints of a service.
struct scale_spec
{
    /// Bounds for each zone, reclaimable and on-demand endpoints together.
    int min = 0;
    int max = 0;
    /// From the order until the endpoint serves.
    absl::Duration boot_time;
    /// Price of a reclaimable endpoint as a share of an on-demand one.
    double reclaimable_price = 1;
    /// Price of an endpoint for each second, by zone.
    std::map<zone_id, double> zone_prices;

    friend bool operator==(const scale_spec&, const scale_spec&) = default;
};

} // namespace chivedeal::forward

#endif
