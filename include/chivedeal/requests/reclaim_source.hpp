#ifndef CHIVEDEAL_REQUESTS_RECLAIM_SOURCE_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_SOURCE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

namespace chivedeal::requests {

/// A leaving endpoint.
struct reclaim_source
{
    endpoint_id id;
    region_id region;
    zone_id zone;
    /// Until the instance is reclaimed; infinite when not known.
    absl::Duration time_left = absl::InfiniteDuration();
    /// Tokens a second of one stream.
    double stream_tokens_per_second = 20;
    /// All exports of the endpoint share it.
    double export_bytes_per_second = 1e9;

    friend bool operator==(const reclaim_source&, const reclaim_source&) = default;
};

} // namespace chivedeal::requests

#endif
