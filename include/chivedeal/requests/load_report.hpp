#ifndef CHIVEDEAL_REQUESTS_LOAD_REPORT_HPP
#define CHIVEDEAL_REQUESTS_LOAD_REPORT_HPP

#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace chivedeal::requests {

/// The load that an endpoint reports for itself; `age` is the time since it was measured.
struct load_report
{
    endpoint_id endpoint;
    version_id version;
    int running = 0;
    int queued = 0;
    int slots = 1;
    double kv_used = 0;
    double kv_limit = 0;
    double tokens_per_second = 0;
    absl::Duration age;

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace chivedeal::requests

#endif
