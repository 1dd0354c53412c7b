#ifndef CHIVEDEAL_CONTROL_ATTEMPT_SAMPLE_HPP
#define CHIVEDEAL_CONTROL_ATTEMPT_SAMPLE_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace chivedeal::control {

/// How one attempt at an endpoint ended, as evidence on its version.
struct attempt_sample
{
    service_id service;
    version_id version;
    std::uint64_t declared_offset = 0;
    std::string route;
    endpoint_id endpoint;
    /// Endpoint's load when the attempt began, 0 (idle) to 3 (full).
    int load_band = 0;
    bool failed = false;
    absl::Duration first_token;
    /// Over the service's latency target.
    bool slow = false;

    friend bool operator==(const attempt_sample&, const attempt_sample&) = default;
};

} // namespace chivedeal::control

#endif
