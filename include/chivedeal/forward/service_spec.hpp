#ifndef CHIVEDEAL_FORWARD_SERVICE_SPEC_HPP
#define CHIVEDEAL_FORWARD_SERVICE_SPEC_HPP

#include "chivedeal/core/id.hpp"
#include "chivedeal/forward/scale_spec.hpp"
#include "chivedeal/regions/cold_spec.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chivedeal::forward {

/// A service as its operator declares it.
struct service_spec
{
    service_id name;
    /// Connections that one endpoint accepts from all callers together.
    int max_connections = 0;
    /// Whether the endpoints are model engines.
    bool is_engine = false;
    /// Engines only: the maximum requests in one batch, and the capacity of the KV cache.
    int slots = 0;
    std::int64_t cache_capacity_tokens = 0;
    /// Absent if the number of endpoints is managed elsewhere.
    std::optional<scale_spec> scale;
    regions::cold_spec cold;

    friend bool operator==(const service_spec&, const service_spec&) = default;
};

} // namespace chivedeal::forward

#endif
