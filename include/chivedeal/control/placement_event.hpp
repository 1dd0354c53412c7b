#ifndef CHIVEDEAL_CONTROL_PLACEMENT_EVENT_HPP
#define CHIVEDEAL_CONTROL_PLACEMENT_EVENT_HPP

#include "chivedeal/control/instance_pool.hpp"
#include "chivedeal/core/id.hpp"

#include "absl/time/time.h"

#include <variant>

namespace chivedeal::control {

/// Load reported by an endpoint.
struct load_sample
{
    endpoint_id endpoint;
    /// Running and queued attempts, from all nodes.
    int open_requests = 0;
    int slots = 1;
    /// Age of the report on arrival.
    absl::Duration age;

    friend bool operator==(const load_sample&, const load_sample&) = default;
};

/// The cloud refused a start in the pool.
struct pool_start_refused
{
    instance_pool pool;

    friend bool operator==(const pool_start_refused&, const pool_start_refused&) = default;
};

/// The cloud started an instance in the pool.
struct pool_start_succeeded
{
    instance_pool pool;

    friend bool operator==(const pool_start_succeeded&, const pool_start_succeeded&) = default;
};

using placement_event = std::variant<load_sample, pool_start_refused, pool_start_succeeded>;

} // namespace chivedeal::control

#endif
