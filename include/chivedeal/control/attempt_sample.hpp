#ifndef CHIVEDEAL_CONTROL_ATTEMPT_SAMPLE_HPP
#define CHIVEDEAL_CONTROL_ATTEMPT_SAMPLE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::control {

/// Outcome of one attempt at an endpoint, used to compare the versions of a service.
struct attempt_sample
{
    service_id service;
    version_id version;
    std::uint64_t declared_offset = 0;
    std::string route;
    endpoint_id endpoint;
    /// Load of the endpoint when the attempt started, from 0 (idle) to 3 (full).
    int load_band = 0;
    bool failed = false;
    absl::Duration time_to_first_token;
    /// Whether the latency exceeded the service's target.
    bool slow = false;

    friend bool operator==(const attempt_sample&, const attempt_sample&) = default;
};

} // namespace chivedeal::control

#endif
