#ifndef CHIVEDEAL_REQUESTS_RECLAIM_SOURCE_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_SOURCE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

namespace chivedeal::requests {

/// A leaving endpoint, from which streams are moved.
struct reclaim_source
{
    endpoint_id id;
    region_id region;
    zone_id zone;
    /// Time until the instance is reclaimed; infinite if not known.
    absl::Duration time_left = absl::InfiniteDuration();
    /// Tokens per second of a single stream.
    double stream_tokens_per_second = 20;
    /// Shared by all exports of the endpoint.
    double export_bytes_per_second = 1e9;

    friend bool operator==(const reclaim_source&, const reclaim_source&) = default;
};

} // namespace chivedeal::requests

#endif
