#ifndef CHIVEDEAL_REGIONS_COLD_SPEC_HPP
#define CHIVEDEAL_REGIONS_COLD_SPEC_HPP

#include "absl/time/time.h"

namespace chivedeal::regions {

/// Limit for the endpoints of a service that have just started.
struct cold_spec
{
    /// How long an endpoint is cold after its start.
    absl::Duration cold_time;
    /// Requests that all nodes together may send to a cold endpoint in one second.
    double requests_per_s = 0;

    /// Whether the service has cold endpoints at all.
    bool is_limited() const { return cold_time > absl::ZeroDuration() && requests_per_s > 0; }

    friend bool operator==(const cold_spec&, const cold_spec&) = default;
};

} // namespace chivedeal::regions

#endif
